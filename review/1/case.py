"""A server sends some of its answers a second time, late, while callers press."""

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

ENTRIES = 2
#: Servers of the service; the first one sends answers twice.
SERVERS = 2
SLOTS = 6
#: Requests that a server queues beyond its slots; it rejects any further one.
QUEUED = 2
WORK_S = 0.0225
#: Callers of each entry. Each entry alone sends no more than the servers can hold.
CALLERS = 11
TIMEOUT_MS = 800
DEADLINE_MS = 1_500
MAX_ATTEMPTS = 3
#: Share of the answers that come twice, in how many periods of which length.
REPEATED_SHARE = 0.03
PERIODS = 12
PERIOD_S = 5.0
PAUSE_S = 0.5
SEED = 63
RULED_STATUSES = (429, 503)


class _Server(harness.Server):
    """A server with slots and a short queue, which may repeat its answers."""

    def __init__(
        self, store: harness.Store, record: harness.Record, name: str, zone: str
    ) -> None:
        super().__init__(store, record, name, "booking-api", zone, _unused, SLOTS)
        self._slots_free = asyncio.Semaphore(SLOTS)
        self._queued = 0
        self._random = random.Random(SEED)
        self.repeats = False
        self.repeated = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        repeated: bytes | None = None
        try:
            while (request := await harness.read_message(reader)) is not None:
                if repeated is not None:
                    # Late, at the point where the next response is expected.
                    writer.write(repeated)
                    self.repeated += 1
                answer = await self._make_answer(request)
                writer.write(answer)
                await writer.drain()
                is_repeated = self.repeats and self._random.random() < REPEATED_SHARE
                repeated = answer if is_repeated else None
        except ConnectionError:
            self._record.note(f"{self.name}: one of its channels was reset")
        finally:
            writer.close()

    async def _make_answer(self, request: harness.Message) -> bytes:
        headers = {"Fuchsiahatch-Request-Id": request.request_id}
        if request.headers["fuchsiahatch-expect-instance"] != self.name:
            headers |= {"Fuchsiahatch-Not-Executed": "1", "At-Server": self.name}
            return harness.encode_answer(421, headers, b"")
        if self._slots_free.locked() and self._queued >= QUEUED:
            headers |= {"Fuchsiahatch-Not-Executed": "1", "At-Server": self.name}
            return harness.encode_answer(503, headers, b"")
        self._queued += 1
        await self._slots_free.acquire()
        self._queued -= 1
        run = harness.Run(self.name, request.request_id, self._record.now_s)
        self.runs.append(run)
        await asyncio.sleep(WORK_S)
        self._slots_free.release()
        headers["Fuchsiahatch-Response-Signature"] = f"sig.{self.name}"
        return harness.encode_answer(200, headers, b"x" * 800)


async def _unused(request: harness.Message, reply: harness.Reply) -> None:
    """Do nothing: these servers make their answers themselves."""


class _Caller:
    """A caller that sends one request after the other on a kept channel."""

    def __init__(
        self, record: harness.Record, entry: harness.EntryProcess, name: str
    ) -> None:
        self._record = record
        self._name = name
        self._channel = harness.Channel(entry.ip, entry.ports["front"])
        #: Status by request id; 0 where the channel ended without an answer.
        self.statuses: dict[str, int] = {}

    async def run(self, until_s: float) -> None:
        """Send requests until a time, and come back as told after a refusal."""
        await self._channel.open()
        while self._record.now_s < until_s:
            request_id = f"{self._name}-{len(self.statuses)}"
            answer = await self._channel.ask(
                harness.encode_request("/hold/1", request_id, deadline_ms=DEADLINE_MS)
            )
            self.statuses[request_id] = 0 if answer is None else answer.status
            if answer is None:
                self._channel.close()
                await self._channel.open()
            elif answer.status in RULED_STATUSES:
                await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
        self._channel.close()


async def _repeat_answers(server: _Server) -> None:
    for _ in range(PERIODS):
        server.repeats = harness.trouble()
        await asyncio.sleep(PERIOD_S)
        server.repeats = False
        await asyncio.sleep(PAUSE_S)


async def play(
    record: harness.Record,
    folder: pathlib.Path,
    processes: list[harness.EntryProcess],
) -> bool:
    """Return whether the rule held."""
    store = harness.Store()
    await store.start()
    route = harness.make_route(
        "/hold/",
        "unsafe",
        "booking-api",
        timeoutMs=TIMEOUT_MS,
        maxAttempts=MAX_ATTEMPTS,
    )
    store.put("op/config", harness.make_configuration(1, [route]))
    servers = [
        _Server(store, record, f"i-{number}", harness.ZONES[number])
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    entries = [
        harness.EntryProcess(record, folder, store.port, f"front-{zone}", zone)
        for zone in harness.ZONES[:ENTRIES]
    ]
    for entry in entries:
        processes.append(entry)
        entry.start()
    for entry in entries:
        await entry.until_ready()
    await asyncio.sleep(harness.SETTLE_S)
    callers = [
        _Caller(record, entry, f"{entry.node}-{number}")
        for entry in entries
        for number in range(CALLERS)
    ]
    until_s = record.now_s + PERIODS * (PERIOD_S + PAUSE_S)
    await asyncio.gather(
        _repeat_answers(servers[0]), *(caller.run(until_s) for caller in callers)
    )
    # What was refused may still be running.
    await asyncio.sleep(1.0)
    return _judge(record, servers, callers)


def _judge(
    record: harness.Record, servers: list[_Server], callers: list[_Caller]
) -> bool:
    """Write what was answered and run; return whether the rule held."""
    statuses = {
        request_id: status
        for caller in callers
        for request_id, status in caller.statuses.items()
    }
    runs: dict[str, list[harness.Run]] = collections.defaultdict(list)
    for server in servers:
        for run in server.runs:
            runs[run.request_id].append(run)
    counts = collections.Counter(statuses.values())
    repeated = sum(server.repeated for server in servers)
    record.note(f"answers by status: {dict(counts)}; repeated by servers: {repeated}")
    refused = [one for one, status in statuses.items() if status in RULED_STATUSES]
    broken = [request_id for request_id in refused if request_id in runs]
    twice = [request_id for request_id, those in runs.items() if len(those) > 1]
    for request_id in {*broken, *twice}:
        those = ", ".join(
            f"{run.server} at {run.at_s:.3f} s" for run in runs[request_id]
        )
        record.note(f"{request_id}: answered {statuses[request_id]}, run by {those}")
    record.note(
        f"{len(broken)} requests were refused and have run (REFUSED), "
        f"{len(twice)} ran more than once (TWICE)"
    )
    return not broken and not twice


if __name__ == "__main__":
    harness.main(play, FOLDER)
