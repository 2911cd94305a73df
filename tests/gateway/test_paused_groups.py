import asyncio
import unittest

from tests.gateway.sites import Site, event_ids, upstream
from tests.loopback import run

STREAMS, EVENTS = 24, 4
#: Longer than the silence after which a stream moves, shorter than callers wait.
PAUSE_S = 1.4
#: Far longer than the pause, also on a busy machine.
DEADLINE_MS = 6_000
#: A retry budget that a few of the streams use up.
BOUNDS = {
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 2,
    "budgetWindowS": 10,
}


class PausingGroup:
    """Streams that all pause behind their first event, and go on at one moment."""

    def __init__(self):
        self.begun = 0
        self._all_begun = asyncio.Event()

    async def stream(self, request, wire):
        """Answer a request; a resumed stream goes on at once."""
        after = int(request.headers.get("last-event-id", 0))
        await wire.begin_stream(request)
        if not after:
            self.begun += 1
            if self.begun == STREAMS:
                self._all_begun.set()
            await self._all_begun.wait()
            await wire.event(1)
            await asyncio.sleep(PAUSE_S)
        for number in range(max(after, 1) + 1, EVENTS + 1):
            await wire.event(number)
        await wire.end_stream()


class TestPausedGroups(unittest.TestCase):
    def test_streams_that_cannot_all_move_wait_for_the_end_of_the_pause(self):
        # Streams that pause together see one retry left, and all but one are reset.
        async def ask_all():
            group = PausingGroup()
            upstreams = [upstream(group.stream) for _ in range(8)]
            async with Site(*upstreams, bounds=BOUNDS) as site:
                await site.limit_time(DEADLINE_MS)
                return await asyncio.gather(
                    *(
                        site.ask(
                            "/chat/x",
                            request_id=f"q-{number}",
                            deadline_ms=DEADLINE_MS,
                        )
                        for number in range(STREAMS)
                    )
                )

        replies = run(ask_all())
        cut = [number for number, reply in enumerate(replies) if not reply.whole]
        self.assertEqual(cut, [])
        for reply in replies:
            self.assertEqual(event_ids(reply.body), list(range(1, EVENTS + 1)))
