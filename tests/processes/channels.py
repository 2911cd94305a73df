"""Callers' connections for tests of stops, on plain sockets.

They see exactly what arrives: bytes before a reset, an end before the next request.
"""

import asyncio
import dataclasses
import socket
import time

import h11

from tests.gateway.sites import encode_request

#: Time that a caller allows, longer than any answer lasts.
DEADLINE_MS = 8_000
READ_BYTES = 65_536
#: Statuses that promise that a request hasn't run and never will.
PROMISES = (408, 421, 429, 503)
CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass
class Try:
    """One sending of a request, and what its caller got.

    Attributes
    ----------
    request_id, target : str
    body : bytes
        The request's body.
    ip : str
        The entry that it was sent to.
    sent_s, ended_s : float
    status : int
        0 without an answer.
    answer : bytes
        The body as far as it arrived.
    whole : bool
        Whether the answer looks complete.
    keeps : bool
        Whether the connection may be used again.
    """

    request_id: str
    target: str
    body: bytes
    ip: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    answer: bytes = b""
    whole: bool = False
    keeps: bool = False

    @property
    def refused(self):
        """Whether a whole answer says that it hasn't run."""
        return self.whole and self.status in PROMISES

    @property
    def may_retry(self):
        """Whether a caller may repeat any request: it was refused, or not read."""
        return self.refused or not self.status


class Channel:
    """One connection of a caller to an entry.

    Parameters
    ----------
    ip : str
    receive_bytes : int, optional
        Size of the kernel's receive buffer; small for a caller that reads slowly.
    """

    def __init__(self, ip, receive_bytes=None):
        self.ip = ip
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setblocking(False)
        if receive_bytes is not None:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._early = b""
        #: Pause before each piece is read.
        self.read_pause_s = 0.0

    async def open(self, port):
        """Connect, or raise OSError."""
        opening = self._loop.sock_connect(self._socket, (self.ip, port))
        await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)

    def close(self):
        """Close the connection."""
        self._socket.close()

    @property
    def ended(self):
        """Whether the entry has ended the connection, as the caller sees it now."""
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def ask(self, request_id, target, body=b"", pause_s=0.0):
        """Send a request and receive its answer.

        Parameters
        ----------
        request_id, target : str
        body : bytes
        pause_s : float, optional
            Pause in the middle of the body.

        Returns
        -------
        Try
        """
        one = Try(request_id, target, body, self.ip, time.monotonic())
        data = _encode(one)
        half = len(data) - len(body) // 2 if pause_s else len(data)
        try:
            await self._loop.sock_sendall(self._socket, data[:half])
            await asyncio.sleep(pause_s)
            await self._loop.sock_sendall(self._socket, data[half:])
        except OSError:
            # An answer may have come before the end.
            pass
        await self._read_answer(one)
        return one

    async def ask_pipelined(self, *requests):
        """Send several requests at once; each is an id and a target."""
        now_s = time.monotonic()
        tries = [Try(name, target, b"", self.ip, now_s) for name, target in requests]
        try:
            await self._loop.sock_sendall(self._socket, b"".join(map(_encode, tries)))
        except OSError:
            # An answer may have come before the end.
            pass
        for one in tries:
            await self._read_answer(one)
        return tries

    async def _read_answer(self, one):
        parser = _expect_answer()
        if self._early:
            parser.receive_data(self._early)
        try:
            while not one.whole:
                await self._read_event(parser, one)
        except (h11.RemoteProtocolError, OSError):
            # The connection ended within the answer.
            pass
        one.ended_s = time.monotonic()
        one.keeps = one.whole and parser.our_state is h11.DONE
        self._early = parser.trailing_data[0]

    async def _read_event(self, parser, one):
        event = parser.next_event()
        if event is h11.NEED_DATA:
            await asyncio.sleep(self.read_pause_s)
            parser.receive_data(await self._loop.sock_recv(self._socket, READ_BYTES))
        elif isinstance(event, h11.Response):
            one.status = event.status_code
        elif isinstance(event, h11.Data):
            one.answer += event.data
        elif isinstance(event, h11.EndOfMessage):
            one.whole = True
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("no answer")


def _encode(one):
    return encode_request(
        one.target,
        request_id=one.request_id,
        body=one.body,
        keep=True,
        deadline_ms=DEADLINE_MS,
    )


def _expect_answer():
    parser = h11.Connection(h11.CLIENT)
    head = h11.Request(method="POST", target="/", headers=[("Host", "x")])
    parser.send(head)
    parser.send(h11.EndOfMessage())
    return parser
