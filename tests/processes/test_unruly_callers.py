import asyncio
import contextlib
import json
import unittest

from fuchsiahatch_standins.platform_demo import make_settings
from tests.gateway.sites import (
    HOST,
    Reply,
    answers,
    encode_request,
    make_configuration,
    make_route,
    upstream,
    waits,
)
from tests.loopback import run
from tests.processes import fleet
from tests.processes.crowds import (
    CROWD_S,
    Crowd,
    ProcessWatch,
    once,
    without_end,
)
from tests.processes.entries import PORTS, EntryProcesses

IP = "127.0.7.93"
METRICS_PORT = 9_464
#: What the host of an entry has, as its settings say.
MEMORY_MB, DESCRIPTORS = 120, 400
#: What the host of an agent has.
AGENT_MEMORY_MB = 100
MEGABYTE_BYTES = 1_048_576
LIMITS = {"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS, "linkMbps": 1000.0}
#: The largest body that the configuration allows.
BODY_BYTES = 4_194_304
IDLE_CHANNELS = 500
#: What an entry of the former path may take, whose limits are constants.
FORMER_MEMORY_MB, FORMER_DESCRIPTORS = 200, 1_100
FORMER_BODY_BYTES = 1_048_576
FORMER_CHANNELS, FORMER_IDLE_CHANNELS = 200, 1_200
ENTRY, CHAT = "entry-kl-a", "/v1/chat/completions"
ASK_S = 2.0
LIMIT_S = 60
PIECE = b"x" * 65_536


def head(method, path, *headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *headers, "", ""]
    return "\r\n".join(lines).encode()


def ahead(path, body=b""):
    """Return many small requests as one piece."""
    headers = [f"Content-Length: {len(body)}"] if body else []
    method = "POST" if body else "GET"
    return (head(method, path, *headers) + body) * (len(PIECE) // (80 + len(body)))


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def announced(path, length=BODY_BYTES - 1):
    """Return a body that is announced and comes but for its last byte."""
    return once(head("POST", path, f"Content-Length: {length}"), b"x" * (length - 1))


CHUNKED = "Transfer-Encoding: chunked"


class Sound:
    """An upstream that answers one path and lets the others wait."""

    def __init__(self, entries):
        self._entries = entries
        self.server = upstream(self._answer)

    async def _answer(self, request, wire):
        script = waits if request.target.startswith("/hold/") else answers()
        await script(request, wire)

    async def start(self):
        routes = [
            make_route("/safe/", "safe"),
            make_route("/hold/", "unsafe", timeoutMs=8_000),
        ]
        self._entries.store.put("op/config", make_configuration(2, routes))
        self._entries.put_upstream("i-0", await self.server.listen())

    async def close(self):
        await self.server.close()


class Outcome:
    """What a crowd did to a process.

    Attributes
    ----------
    lives : bool
    memory_bytes, descriptors : int
        The most of the process.
    beside, behind, largest : bool
        Whether one ordinary request was answered beside the crowd, one behind it, and
        one with the largest body behind it.
    ready : bool
        Whether the process said so beside the crowd.
    """

    def __init__(self):
        self.beside = self.behind = self.largest = self.ready = False


async def _ask(request, port=PORTS["front"]):
    """Return the status of one request; 0 without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(ASK_S):
            reader, writer = await asyncio.open_connection(IP, port)
            writer.write(request)
            reply = Reply(await reader.read(-1))
            return reply.status if reply.whole else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.transport.abort()


async def _ask_until_answered(request, port=PORTS["front"]):
    while await _ask(request, port) != 200:
        await asyncio.sleep(0.05)


async def _is_answered(request, within_s, port=PORTS["front"]):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(within_s):
            await _ask_until_answered(request, port)
            return True
    return False


def ordinary(body=b""):
    return encode_request("/safe/a", "q-ordinary", body=body)


READY = head("GET", "/-/ready", "Connection: close")


async def _play(make_crowd):
    outcome = Outcome()
    site = EntryProcesses(lambda one: [Sound(one)], (IP,), limits=LIMITS)
    async with site:
        process = site.processes[IP]
        crowd = make_crowd()
        async with ProcessWatch(process.pid) as watch:
            playing = asyncio.ensure_future(crowd.play())
            # The crowd is at it when the others come.
            await asyncio.sleep(CROWD_S / 4)
            left_s = CROWD_S / 2
            outcome.beside, outcome.ready = await asyncio.gather(
                _is_answered(ordinary(), left_s),
                _is_answered(READY, left_s, PORTS["ready"]),
            )
            await playing
            outcome.behind = await _is_answered(ordinary(), LIMIT_S / 4)
            largest = ordinary(b"x" * BODY_BYTES)
            outcome.largest = await _is_answered(largest, LIMIT_S / 4)
            outcome.lives = process.poll() is None
        outcome.memory_bytes = watch.memory_bytes
        outcome.descriptors = watch.descriptors
    return outcome


class TestEntry(unittest.TestCase):
    def check(self, port, pieces, **options):
        """Play a crowd against one port of an entry, and check what must hold."""
        outcome = run(_play(lambda: Crowd((IP, port), pieces, **options)), LIMIT_S)
        self.assertTrue(outcome.lives)
        self.assertLess(outcome.memory_bytes, MEMORY_MB * MEGABYTE_BYTES)
        self.assertLess(outcome.descriptors, DESCRIPTORS)
        self.assertTrue(outcome.beside, "no ordinary answer beside the crowd")
        self.assertTrue(outcome.ready, "not ready beside the crowd")
        self.assertTrue(outcome.behind, "no ordinary answer behind the crowd")
        self.assertTrue(outcome.largest, "no answer to the largest body")

    def test_requests_ahead_to_a_route_without_the_usual_headers(self):
        self.check(PORTS["front"], without_end(ahead("/safe/a")))

    def test_requests_ahead_to_a_path_without_a_route(self):
        self.check(PORTS["front"], without_end(ahead("/nowhere")))

    def test_requests_ahead_for_readiness_at_the_callers_port(self):
        self.check(PORTS["front"], without_end(ahead("/-/ready")))

    def test_requests_ahead_at_the_ready_port(self):
        self.check(PORTS["ready"], without_end(ahead("/-/ready")))

    def test_requests_ahead_at_the_lookup_port(self):
        self.check(PORTS["directory"], without_end(ahead("/-/resolve?name=x")))

    def test_requests_ahead_at_the_metrics_port(self):
        self.check(METRICS_PORT, without_end(ahead("/metrics")))

    def test_requests_ahead_with_bodies(self):
        self.check(PORTS["front"], without_end(ahead("/safe/a", b"x" * 3_000)))

    def test_requests_ahead_whose_answers_are_read(self):
        self.check(PORTS["front"], without_end(ahead("/safe/a")), reads=True)

    def test_announced_bodies_that_never_end(self):
        self.check(PORTS["front"], announced("/safe/a"))

    def test_announced_bodies_that_never_end_at_the_ready_port(self):
        self.check(PORTS["ready"], announced("/-/ready"))

    def test_announced_bodies_that_never_end_at_the_metrics_port(self):
        self.check(METRICS_PORT, announced("/metrics"))

    def test_chunks_without_end(self):
        start = head("POST", "/safe/a", CHUNKED)
        self.check(PORTS["front"], without_end(chunk(PIECE), start))

    def test_chunks_without_end_at_the_lookup_port(self):
        start = head("POST", "/-/resolve?name=x", CHUNKED)
        self.check(PORTS["directory"], without_end(chunk(PIECE), start))

    def test_bodies_that_come_slowly(self):
        pieces = [head("POST", "/safe/a", f"Content-Length: {BODY_BYTES}")]
        pieces += [b"x" * 16_384] * (BODY_BYTES // 16_384 - 1)
        self.check(PORTS["front"], once(*pieces), channels=100, pause_s=0.02)

    def test_chunks_of_one_byte_without_end(self):
        start = head("POST", "/safe/a", CHUNKED)
        tiny = chunk(b"x") * 10_000
        self.check(PORTS["front"], without_end(tiny, start), channels=100)

    def test_chunks_of_one_byte_without_end_at_the_ready_port(self):
        start = head("POST", "/-/ready", CHUNKED)
        tiny = chunk(b"x") * 10_000
        self.check(PORTS["ready"], without_end(tiny, start), channels=100)

    def test_whole_bodies_that_wait_for_an_upstream(self):
        body = b"x" * BODY_BYTES
        request = encode_request(
            "/hold/a", "q-1", body=body, keep=True, deadline_ms=8_000
        )
        self.check(PORTS["front"], once(request))

    def test_idle_channels(self):
        self.check(PORTS["front"], once(), channels=IDLE_CHANNELS)

    def test_idle_channels_at_the_ready_port(self):
        self.check(PORTS["ready"], once(), channels=IDLE_CHANNELS)

    def test_idle_channels_at_the_metrics_port(self):
        self.check(METRICS_PORT, once(), channels=IDLE_CHANNELS)

    def test_heads_that_never_end_on_many_channels(self):
        start = head("GET", "/safe/a")[:-2]
        self.check(PORTS["front"], once(start), channels=IDLE_CHANNELS)


class AgentProcess(EntryProcesses):
    """One real agent and its store; its engine doesn't answer."""

    def settings_of(self, ip):
        return make_settings(
            self.store_port,
            ip,
            node="side-1",
            role="agent",
            app=f"{ip}:1",
            service="models",
            internalPorts=[17_360, 17_375],
            limits={**LIMITS, "memoryMb": AGENT_MEMORY_MB},
        )

    role = "agent"

    async def until_all_started(self):
        request = head("GET", "/metrics", "Connection: close")
        async with asyncio.timeout(LIMIT_S / 4):
            await _ask_until_answered(request, METRICS_PORT)


class TestAgent(unittest.TestCase):
    def check(self, pieces, **options):
        async def play():
            async with AgentProcess(lambda one: [], (IP,)) as site:
                process = site.processes[IP]
                request = head("GET", "/metrics", "Connection: close")
                async with ProcessWatch(process.pid) as watch:
                    await Crowd((IP, METRICS_PORT), pieces, **options).play()
                    answered = await _is_answered(request, LIMIT_S / 4, METRICS_PORT)
                return process.poll() is None, watch, answered

        lives, watch, answered = run(play(), LIMIT_S)
        self.assertTrue(lives)
        self.assertLess(watch.memory_bytes, AGENT_MEMORY_MB * MEGABYTE_BYTES)
        self.assertLess(watch.descriptors, DESCRIPTORS)
        self.assertTrue(answered, "no answer behind the crowd")

    def test_requests_ahead_at_the_metrics_port(self):
        self.check(without_end(ahead("/metrics")))

    def test_announced_bodies_that_never_end_at_the_metrics_port(self):
        self.check(announced("/metrics"))

    def test_idle_channels_at_the_metrics_port(self):
        self.check(once(), channels=IDLE_CHANNELS)


class TestFormerPath(unittest.TestCase):
    """An entry of the path with an agent between it and its upstreams."""

    def setUp(self):
        self.fleet = fleet.Fleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def ask(self):
        document = json.dumps({"model": fleet.MODEL, "messages": [], "max_tokens": 1})
        headers = {"Fuchsiahatch-Team": fleet.TEAM}
        address = self.fleet.address(ENTRY)
        return fleet.ask(address, "POST", CHAT, document, headers)[0]

    def check(self, pieces, **options):
        ip, _, port = self.fleet.address(ENTRY).partition(":")
        process = self.fleet.processes[ENTRY]

        async def play():
            async with ProcessWatch(process.pid) as watch:
                await Crowd((ip, int(port)), pieces, **options).play()
            return watch

        watch = run(play(), LIMIT_S)
        self.assertIsNone(process.poll())
        self.assertLess(watch.memory_bytes, FORMER_MEMORY_MB * MEGABYTE_BYTES)
        self.assertLess(watch.descriptors, FORMER_DESCRIPTORS)
        fleet.wait_until(
            lambda: self.ask() == 200, "an ordinary answer behind the crowd"
        )

    def test_announced_bodies_that_never_end(self):
        length = FORMER_BODY_BYTES - 1
        pieces = announced(CHAT, length)
        self.check(pieces, channels=FORMER_CHANNELS)

    def test_chunks_of_one_byte_without_end(self):
        start = head("POST", CHAT, CHUNKED)
        self.check(without_end(chunk(b"x") * 10_000, start), channels=FORMER_CHANNELS)

    def test_idle_channels(self):
        self.check(once(), channels=FORMER_IDLE_CHANNELS)


if __name__ == "__main__":
    unittest.main()
