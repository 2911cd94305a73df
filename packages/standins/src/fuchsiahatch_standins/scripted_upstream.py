"""Stand-in of an upstream that is told what to do with each request, byte by byte.

A script is a coroutine that is given one request and its connection. It may answer,
break off, say nothing, or send what nobody asked for.
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import socket
import struct
import typing as t

import h11

from fuchsiahatch_http1.socket_queues import bytes_to_send

SIGNATURE = "sig-1"
ACKNOWLEDGED_POLL_INTERVAL_MS = 5
Script = t.Callable[["Received", "Wire"], t.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A request as it came."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Its id."""
        return self.headers.get("fuchsiahatch-request-id", "")


class Wire:
    """The connection that a request came on."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    async def raw(self, data: bytes) -> None:
        """Send bytes as they are."""
        self._writer.write(data)
        await self._writer.drain()

    async def answer(
        self,
        request: Received,
        status: int = 200,
        body: bytes = b"ok",
        headers: collections.abc.Mapping[str, str] = {},
    ) -> None:
        """Send a whole answer to a request."""
        await self.raw(
            encode_head(request.request_id, status, len(body), headers) + body
        )

    async def begin_stream(self, request: Received) -> None:
        """Send the head of a stream of events."""
        await self.raw(encode_head(request.request_id, 200, None, {}))

    async def event(self, number: int) -> None:
        """Send one event of a stream."""
        data = b"id: %d\ndata: piece %d\n\n" % (number, number)
        await self.raw(b"%x\r\n%s\r\n" % (len(data), data))

    async def end_stream(self) -> None:
        """Send the clean end of a stream."""
        await self.raw(b"0\r\n\r\n")

    async def acknowledged(self) -> None:
        """Wait until the other side's kernel has all that was sent.

        A reset drops what it hasn't.
        """
        handle = self._writer.get_extra_info("socket")
        while self._writer.transport.get_write_buffer_size() or bytes_to_send(handle):
            await asyncio.sleep(ACKNOWLEDGED_POLL_INTERVAL_MS / 1000)

    def reset(self) -> None:
        """Reset the connection, unless it is closed already."""
        if self._writer.is_closing():
            return
        handle = self._writer.get_extra_info("socket")
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def encode_head(
    request_id: str,
    status: int,
    length: int | None,
    headers: collections.abc.Mapping[str, str],
) -> bytes:
    """Return the head of an answer; without a length its body comes in chunks."""
    lines = [f"HTTP/1.1 {status} Status", f"Fuchsiahatch-Request-Id: {request_id}"]
    if 200 <= status < 300:
        lines.append(f"Fuchsiahatch-Response-Signature: {SIGNATURE}")
    if length is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {length}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


class ScriptedUpstream:
    """One upstream whose requests run scripts in turn; the last one goes on.

    Parameters
    ----------
    *scripts : coroutine functions

    Attributes
    ----------
    received : list of Received
    left : int
        Connections that the other side ended while a script ran.
    """

    def __init__(self, *scripts: Script) -> None:
        self._scripts = itertools.chain(scripts, itertools.repeat(scripts[-1]))
        self._upstream: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.received: list[Received] = []
        self.connections = 0
        self.left = 0

    async def listen(self, ip: str = "127.0.0.1", port: int = 0) -> int:
        """Serve and return the port."""
        self._upstream = await asyncio.start_server(self._serve, ip, port)
        return self._upstream.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop."""
        if self._upstream is not None:
            self._upstream.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        conn = h11.Connection(h11.SERVER)
        wire = Wire(writer)
        try:
            while (request := await self._read(conn, reader)) is not None:
                self.received.append(request)
                early = await self._run(next(self._scripts), request, wire, reader)
                conn = h11.Connection(h11.SERVER)
                if early:
                    conn.receive_data(early)
        except (ConnectionError, h11.RemoteProtocolError):
            # The caller has gone; that is what a test may be after.
            return
        finally:
            writer.close()

    async def _run(
        self,
        script: Script,
        request: Received,
        wire: Wire,
        reader: asyncio.StreamReader,
    ) -> bytes:
        """Run a script; return what came of the next request meanwhile."""
        task = asyncio.ensure_future(script(request, wire))
        self._tasks.add(task)
        watch = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({task, watch}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            self.left += 1
            task.cancel()
            await asyncio.gather(watch, return_exceptions=True)
            raise ConnectionResetError("the other side has ended the connection")
        watch.cancel()
        (early,) = await asyncio.gather(watch, return_exceptions=True)
        self._tasks.discard(task)
        task.result()
        return early if isinstance(early, bytes) else b""

    async def _read(
        self, conn: h11.Connection, reader: asyncio.StreamReader
    ) -> Received | None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65_536)
                if not data and head is None:
                    return None
                conn.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                headers = {k.decode(): v.decode() for k, v in head.headers}
                method, target = head.method.decode(), head.target.decode()
                return Received(method, target, headers, body)
            else:
                return None
