"""An entry is stopped as planned while callers receive streams on kept channels."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

#: Events of each caller's first stream, by caller. The largest streams of the small
#: deployments have 60 events.
FIRST_EVENTS = (40, 40, 40, 60)
#: Events of the second stream of each caller; None where it sends none.
SECOND_EVENTS = (40, 40, 40, None)
#: Less than the pause of 120 ms between events that the route allows.
EVENT_INTERVAL_S = 0.1
TIMEOUT_MS = 8_000
#: Time from the first requests to the SIGTERM.
STOP_AFTER_S = 0.5
#: Pause of a caller between two requests on its channel.
PAUSE_S = 0.2
#: Requests that were sent later than this after the SIGTERM have no excuse.
EXCUSED_S = 3.0


async def _stream(request: harness.Message, reply: harness.Reply) -> None:
    events = int(request.target.rpartition("/")[2])
    await asyncio.sleep(EVENT_INTERVAL_S)
    await reply.begin_stream()
    for number in range(1, events + 1):
        await reply.event(number)
        await asyncio.sleep(EVENT_INTERVAL_S)
    await reply.end_stream()


class _Caller:
    """A caller that sends its requests one after the other on a kept channel."""

    def __init__(
        self, record: harness.Record, entry: harness.EntryProcess, number: int
    ) -> None:
        self._record = record
        self._number = number
        self._channel = harness.Channel(entry.ip, entry.ports["front"])
        self._closes = False
        #: Times at which requests were sent whose answers were cut.
        self.cut_s: list[float] = []

    async def run(self) -> None:
        """Send one or two requests."""
        await self._channel.open()
        await self._ask(f"first-{self._number}", FIRST_EVENTS[self._number])
        events = SECOND_EVENTS[self._number]
        if events is not None and not self._closes:
            await asyncio.sleep(PAUSE_S)
            await self._ask(f"second-{self._number}", events)
        self._channel.close()

    async def _ask(self, request_id: str, events: int) -> None:
        reader, writer = self._channel.reader, self._channel.writer
        assert reader is not None and writer is not None
        sent_s = self._record.now_s
        path = f"/chat/{events}"
        request = harness.encode_request(path, request_id, deadline_ms=TIMEOUT_MS)
        writer.write(request)
        self._record.note(f"caller sends {request_id}")
        head = await harness.read_head(reader)
        received = 0
        chunk: bytes | None = None
        while head is not None and (chunk := await harness.read_chunk(reader)):
            received += chunk.count(b"\n\n")
        if head is None:
            self._closes = True
            self._record.note(f"{request_id}: the channel ends without an answer")
            return
        connection = head.headers.get("connection", "kept")
        # A clean end of the channel is one that the caller sees before it sends again.
        self._closes = connection == "close" or reader.at_eof()
        whole = chunk == b"" and received == events
        if not whole:
            self.cut_s.append(sent_s)
        self._record.note(
            f"{request_id}: status {head.status}, connection {connection}, {received} "
            f"of {events} events, {'whole' if whole else 'cut'} "
            f"{self._record.now_s - sent_s:.2f} s after it was sent"
        )


async def _stop(record: harness.Record, entry: harness.EntryProcess) -> float:
    """Stop an entry as the platform does; return when it got SIGTERM."""
    await asyncio.sleep(STOP_AFTER_S)
    stopped_s = record.now_s
    entry.send_signal(signal.SIGTERM)
    grace_s = harness.BOUNDS["graceS"]
    while not entry.ended:
        if record.now_s > stopped_s + grace_s:
            entry.send_signal(signal.SIGKILL)
        await asyncio.sleep(0.01)
    record.note(f"{entry.node} has ended {record.now_s - stopped_s:.2f} s after that")
    return stopped_s


async def play(
    record: harness.Record,
    folder: pathlib.Path,
    processes: list[harness.EntryProcess],
) -> bool:
    """Return whether the rule held."""
    store = harness.Store()
    await store.start()
    route = harness.make_route(
        "/chat/",
        "streaming",
        "lm-pool",
        timeoutMs=TIMEOUT_MS,
        gapAimMs=120,
        resumeStreams=True,
        maxAttempts=2,
    )
    store.put("op/config", harness.make_configuration(1, [route]))
    for zone in harness.ZONES:
        server = harness.Server(store, record, f"i-{zone}", "lm-pool", zone, _stream)
        await server.start()
    entry = harness.EntryProcess(record, folder, store.port)
    processes.append(entry)
    entry.start()
    await entry.until_ready()
    await asyncio.sleep(harness.SETTLE_S)
    callers = [_Caller(record, entry, one) for one in range(len(FIRST_EVENTS))]
    calls = asyncio.gather(*(caller.run() for caller in callers))
    stopped_s = await _stop(record, entry) if harness.trouble() else 0.0
    await calls
    cut_s = [sent_s - stopped_s for caller in callers for sent_s in caller.cut_s]
    lost = [sent_s for sent_s in cut_s if sent_s > EXCUSED_S]
    record.note(f"cut: {len(cut_s)} answers, {len(lost)} of them without an excuse")
    return not lost


if __name__ == "__main__":
    harness.main(play, FOLDER)
