import asyncio
import os
import socket
import unittest

from fuchsiahatch_http1.server import HttpServer, ServerLimits
from tests.loopback import run

LARGE_BYTES = 1_000_000
GET_AND_CLOSE = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class Caller:
    """A plain socket, so that a test decides when bytes are read."""

    def __init__(self, port, receive_bytes=None):
        self._loop = asyncio.get_running_loop()
        self._port = port
        self.socket = socket.socket()
        if receive_bytes is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.setblocking(False)

    async def __aenter__(self):
        await self._loop.sock_connect(self.socket, ("127.0.0.1", self._port))
        return self

    async def __aexit__(self, *exc_info):
        self.socket.close()

    async def send(self, data):
        await self._loop.sock_sendall(self.socket, data)

    async def receive(self, size=65_536):
        return await self._loop.sock_recv(self.socket, size)

    async def receive_all(self, bytes_per_s=None):
        data = b""
        while piece := await self.receive():
            data += piece
            if bytes_per_s is not None:
                await asyncio.sleep(len(piece) / bytes_per_s)
        return data


class ClosingCase(unittest.TestCase):
    def setUp(self):
        self.handled = 0
        self.server = None

    async def large(self, exchange):
        self.handled += 1
        exchange.respond(200, (), b"x" * LARGE_BYTES)

    async def serve(self, handle, **limits):
        self.server = HttpServer(handle, ServerLimits(**limits))
        return await self.server.listen("127.0.0.1", 0)

    def play(self, work):
        async def play():
            try:
                return await work()
            finally:
                await self.server.close()
                await asyncio.sleep(0)

        return run(play())


class TestSlowCallers(ClosingCase):
    def test_large_answers_to_slow_callers_leave_no_connection(self):
        # A transport never closes while its producer is registered and paused.
        async def ask(port):
            async with Caller(port, receive_bytes=16_384) as caller:
                await caller.send(GET_AND_CLOSE)
                data = await caller.receive_all(bytes_per_s=4 * LARGE_BYTES)
                return len(data.partition(b"\r\n\r\n")[2])

        async def play():
            port = await self.serve(self.large)
            before = len(os.listdir("/proc/self/fd"))
            asked = await asyncio.gather(*(ask(port) for _ in range(40)))
            await asyncio.sleep(0.2)
            left = len(os.listdir("/proc/self/fd")) - before
            return asked, len(self.server.connections), left

        asked, connections, descriptors = self.play(play)
        self.assertEqual(set(asked), {LARGE_BYTES})
        self.assertEqual((connections, descriptors), (0, 0))
