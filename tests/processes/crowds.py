"""Crowds of callers that stay inside no limits, on plain sockets.

Each channel sends what it is given until the crowd's time is over, and opens anew where
the process closes it. A crowd checks nothing by itself.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import socket

#: Time for which a crowd sends; a process without limits takes many times the memory
#: of its settings in it.
CROWD_S = 4.0
#: Channels of a crowd.
CHANNELS = 40
#: Pause before a channel that was closed is opened anew.
REOPEN_S = 0.02
#: Interval at which the process's descriptors are counted.
WATCH_S = 0.05
CONNECT_S = 1.0
READ_BYTES = 65_536


class Crowd:
    """Channels that send at once.

    Parameters
    ----------
    address : tuple of (str, int)
    pieces : callable
        Returns an iterable of what a channel sends.
    reads : bool, optional
        Whether what is answered is read.
    channels : int, optional
    pause_s : float, optional
        Pause between two pieces.
    """

    def __init__(self, address, pieces, *, reads=False, channels=CHANNELS, pause_s=0.0):
        self._address = address
        self._pieces = pieces
        self._reads = reads
        self._channels = channels
        self._pause_s = pause_s

    async def play(self, for_s=CROWD_S):
        """Send for some seconds."""
        channels = [
            asyncio.ensure_future(self._keep_sending()) for _ in range(self._channels)
        ]
        await asyncio.sleep(for_s)
        for one in channels:
            one.cancel()
        for result in await asyncio.gather(*channels, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                raise AssertionError(f"a channel ended: {result!r}")

    async def _keep_sending(self):
        while True:
            # Refused and closed channels are what the crowd is for.
            with contextlib.suppress(OSError, TimeoutError):
                await self._send_once()
            await asyncio.sleep(REOPEN_S)

    async def _send_once(self):
        loop = asyncio.get_running_loop()
        with socket.socket() as channel:
            channel.setblocking(False)
            # Not by wait_for, which may swallow the end of the crowd's time.
            async with asyncio.timeout(CONNECT_S):
                await loop.sock_connect(channel, self._address)
            reading = asyncio.ensure_future(self._read(channel))
            try:
                for piece in self._pieces():
                    await loop.sock_sendall(channel, piece)
                    await asyncio.sleep(self._pause_s)
                await reading
            finally:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)

    async def _read(self, channel):
        if not self._reads:
            await asyncio.Event().wait()
        while await asyncio.get_running_loop().sock_recv(channel, READ_BYTES):
            pass


class ProcessWatch:
    """The most memory and descriptors of a process, for the time of a context.

    Attributes
    ----------
    memory_bytes, descriptors : int
    """

    def __init__(self, pid):
        self._path = pathlib.Path(f"/proc/{pid}")
        self.memory_bytes = 0
        self.descriptors = 0

    async def __aenter__(self):
        # Begins the record of the most memory anew.
        (self._path / "clear_refs").write_text("5")
        self._watching = asyncio.ensure_future(self._watch())
        return self

    async def __aexit__(self, *exc_info):
        self._watching.cancel()
        for line in (self._path / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                self.memory_bytes = int(line.split()[1]) * 1024

    async def _watch(self):
        while True:
            count = len(os.listdir(self._path / "fd"))
            self.descriptors = max(self.descriptors, count)
            await asyncio.sleep(WATCH_S)


def once(*pieces):
    """Return what makes each channel send the given pieces, and then wait."""
    return lambda: iter(pieces)


def without_end(piece, *first):
    """Return what makes each channel send a piece again and again behind others."""
    return lambda: itertools.chain(first, itertools.repeat(piece))
