"""A process of ours, on whose host the time of day jumps while a connection lingers.

The jump is that of `time.time` alone, as this process sees it.
"""

import time

#: Far more than anything that is waited for.
STEP_S = 3_600.0
#: Times to linger of which one is over soon and the other isn't over in a test.
SHORT_LINGER_MS, LONG_LINGER_MS = 1_000, 60_000
#: Time from an answer to the jump, in which the connection begins to linger.
BEFORE_S = 0.25
#: Time to see whether a connection is closed, and in which it must be.
LOOK_S, LIMIT_S = 0.3, 5.0

_read_time = time.time
_step_s = 0.0
# Before any other module takes the function as its clock.
time.time = lambda: _read_time() + _step_s

import asyncio  # noqa: E402
import select  # noqa: E402
import socket  # noqa: E402

from fuchsiahatch_gateway import main  # noqa: E402


async def lingers_behind(step_s, linger_ms, wait_s):
    """Return whether a caller's connection is still there behind a jump."""
    global _step_s
    from fuchsiahatch_http1 import server_connection
    from fuchsiahatch_http1.server import HttpServer

    async def answer(exchange):
        exchange.respond(200, (), b"short")

    server_connection.LINGER_MS = linger_ms
    server = HttpServer(answer)
    port = await server.listen("127.0.0.1", 0)
    with socket.create_connection(("127.0.0.1", port)) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        while not select.select([caller], [], [], 0)[0]:
            await asyncio.sleep(0.001)
        await asyncio.sleep(BEFORE_S)
        _step_s = step_s
        ends_s = time.monotonic() + wait_s
        while server.connections and time.monotonic() < ends_s:
            await asyncio.sleep(0.01)
        lingers = bool(server.connections)
    await server.close()
    return lingers


async def play(settings, listening, hangups):
    forward = await lingers_behind(STEP_S, LONG_LINGER_MS, LOOK_S)
    back = await lingers_behind(-STEP_S, SHORT_LINGER_MS, LIMIT_S)
    print(forward, back)


if __name__ == "__main__":
    main._run(play)
