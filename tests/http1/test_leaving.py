"""Answers that end around the moment at which their server begins to leave."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
import unittest

from fuchsiahatch_http1.lingering_close import LEAVING_LINGER_MS
from fuchsiahatch_http1.server import HttpServer
from tests.http1.test_closing import Caller
from tests.loopback import run

#: Time from the first request to the end of its answer, and the sampled moments of the
#: leaving around that.
ANSWER_S = 0.02
LEAVE_S = [ANSWER_S + step / 4_000 for step in range(-40, 41)]
#: Groups of servers that leave one after the other.
GROUPS = 9
#: Events of an answer, and requests that a caller sends at most on its connection.
EVENTS, REQUESTS = 4, 4
#: Pause of a caller that reads late, beyond the answer's end.
LATE_S = 0.03
#: Time for which a caller's process is stopped: longer than a close lingers.
STOPPED_S = LEAVING_LINGER_MS / 1000 + 1.0

#: A caller whose process can be stopped: it tells that it has sent its request, and
#: writes what it receives.
PROCESS = """
import socket, sys
caller = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
caller.sendall(b"GET /alone HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n")
print("sent", flush=True)
while data := caller.recv(65_536):
    sys.stdout.buffer.write(data)
"""


def encode(name):
    return f"GET /{name} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def end_of(name):
    """Return the bytes that only a whole answer ends with."""
    last = f"{name} ends".encode()
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(last), last)


async def read_on(caller):
    """Return all that arrives, also before a reset."""
    data = b""
    with contextlib.suppress(ConnectionError):
        while piece := await caller.receive():
            data += piece
    return data


async def read_late(caller, name):
    await caller.send(encode(name))
    await asyncio.sleep(ANSWER_S + LATE_S)
    return await read_on(caller)


async def pipeline(caller, name):
    await caller.send(b"".join(encode(f"{name}.{one}") for one in range(REQUESTS)))
    return await read_on(caller)


async def write_on_unread(caller, name):
    await caller.send(encode(name))
    await asyncio.sleep(ANSWER_S - 0.005)
    with contextlib.suppress(ConnectionError):
        for one in range(REQUESTS):
            await caller.send(encode(f"{name}.{one}"))
            await asyncio.sleep(0.003)
    return await read_on(caller)


async def ignore_closes(caller, name):
    data = b""
    with contextlib.suppress(ConnectionError):
        for one in range(REQUESTS):
            await caller.send(encode(f"{name}.{one}"))
            while end_of(f"{name}.{one}") not in data:
                piece = await caller.receive()
                if not piece:
                    await caller.send(encode(f"{name}.after"))
                    return data + await read_on(caller)
                data += piece
    return data


async def half_close_behind(caller, name):
    """Close the sending side once the whole answer has arrived, then read on."""
    await caller.send(encode(name))
    data = b""
    while end_of(name) not in data:
        data += await caller.receive()
    caller.socket.shutdown(1)
    return data + await read_on(caller)


CALLERS = (
    read_late,
    pipeline,
    write_on_unread,
    ignore_closes,
    half_close_behind,
)


class LeavingCase(unittest.TestCase):
    def setUp(self):
        self.finished = []
        self.begun = []

    async def stream(self, exchange):
        name = exchange.target[1:].decode()
        self.begun.append(name)
        exchange.start(200, ())
        for number in range(EVENTS):
            exchange.write(b"event %d" % number)
            await asyncio.sleep(ANSWER_S / EVENTS)
        exchange.write(f"{name} ends".encode())
        exchange.finish()
        self.finished.append(name)


class TestLeavingAroundTheEndOfAnswers(LeavingCase):
    async def ask(self, port, play, name):
        async with Caller(port) as caller:
            return await play(caller, name)

    async def leave_at(self, number, leave_s):
        """Return what arrives at the callers of a server that leaves."""
        server = HttpServer(self.stream)
        port = await server.listen("127.0.0.1", 0)
        plays = [self.ask(port, one, f"{number}.{one.__name__}") for one in CALLERS]
        calls = [asyncio.ensure_future(one) for one in plays]
        await asyncio.sleep(leave_s)
        server.leave()
        try:
            return b"".join(await asyncio.gather(*calls))
        finally:
            await server.close()

    def test_each_request_that_was_handled_gets_its_whole_answer(self):
        async def play():
            data = b""
            for first in range(GROUPS):
                numbers = range(first, len(LEAVE_S), GROUPS)
                rounds = (self.leave_at(one, LEAVE_S[one]) for one in numbers)
                data += b"".join(await asyncio.gather(*rounds))
            return data

        data = run(play())
        self.assertGreaterEqual(len(self.finished), len(LEAVE_S) * len(CALLERS))
        self.assertEqual(sorted(self.begun), sorted(self.finished))
        lost = [name for name in self.finished if end_of(name) not in data]
        self.assertEqual(lost, [])


class TestStoppedCallers(LeavingCase):
    """A caller's kernel has acknowledged bytes that its process hasn't read."""

    def test_one_that_is_stopped_for_longer_than_a_close_lingers_gets_its_answer(self):
        async def play():
            loop = asyncio.get_running_loop()
            server = HttpServer(self.stream)
            port = await server.listen("127.0.0.1", 0)
            command = [sys.executable, "-c", PROCESS, str(port)]
            with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
                await loop.run_in_executor(None, process.stdout.readline)
                os.kill(process.pid, signal.SIGSTOP)
                server.leave()
                began_s = time.monotonic()
                while not server.is_drained:
                    await asyncio.sleep(0.05)
                drained_s = time.monotonic() - began_s
                await server.close()
                await asyncio.sleep(max(0.0, STOPPED_S - drained_s))
                os.kill(process.pid, signal.SIGCONT)
                data = await loop.run_in_executor(None, process.stdout.read)
            return data, drained_s

        data, drained_s = run(play())
        self.assertTrue(data.endswith(end_of("alone")))
        self.assertLess(drained_s, STOPPED_S)


if __name__ == "__main__":
    unittest.main()
