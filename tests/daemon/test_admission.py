import asyncio
import unittest

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_daemon.admission import Admission

LONG_MS = 3_600_000


async def let_run():
    for _ in range(3):
        await asyncio.sleep(0)


class TestAdmission(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.admission = Admission(1, queue_limit=2, clock=self.clock)

    async def enter_in_background(self, team="gym", deadline_ms=LONG_MS):
        task = asyncio.ensure_future(self.admission.enter(team, 1, deadline_ms))
        await let_run()
        return task

    async def test_waits_for_a_place(self):
        waits = []
        self.admission.note_wait = lambda *seen: waits.append(seen)
        await self.admission.enter("first", 1, LONG_MS)
        second = await self.enter_in_background("second")
        self.assertEqual((self.admission.in_flight, self.admission.queued), (1, 1))
        self.clock.advance(40)
        self.admission.exit("first")
        await second
        self.assertEqual(waits, [("first", 0), ("second", 40)])
        self.admission.exit("second")
        await self.admission.wait_idle()

    async def test_full_queue_refuses_with_when_to_come_back(self):
        await self.admission.enter("gym", 1, LONG_MS)
        waiting = [await self.enter_in_background() for _ in range(2)]
        with self.assertRaises(RefusedError) as seen:
            await self.admission.enter("gym", 1, LONG_MS)
        self.assertIs(seen.exception.result, Code.OVERLOADED)
        self.assertGreater(seen.exception.retry_after_ms, 0)
        for task in waiting:
            task.cancel()

    async def test_leaving_refuses_new_work_and_finishes_what_waits(self):
        """A graceful stop loses the requests that were waiting for a place."""
        await self.admission.enter("gym", 1, LONG_MS)
        waiting = await self.enter_in_background()
        self.admission.leaving = True
        with self.assertRaises(RefusedError) as seen:
            await self.admission.enter("gym", 1, LONG_MS)
        self.assertIs(seen.exception.result, Code.LEAVING)
        idle = asyncio.ensure_future(self.admission.wait_idle())
        self.admission.exit("gym")
        await waiting
        await let_run()
        self.assertFalse(idle.done())
        self.admission.exit("gym")
        await idle

    async def test_deadline_passes_in_the_queue(self):
        await self.admission.enter("gym", 1, LONG_MS)
        self.clock.advance(10)
        waiting = await self.enter_in_background(deadline_ms=1)
        self.clock.advance(1)
        with self.assertRaises(RefusedError) as seen:
            await waiting
        self.assertIs(seen.exception.result, Code.DEADLINE_PASSED)


class TestCallerGoneWhileWaiting(unittest.IsolatedAsyncioTestCase):
    """An agent that served 32 at once serves 31, then 30, and in the end none.

    A member closes the chat while the request waits; at the same moment a place
    comes free and is given to it. Nobody runs in it and nobody gives it back.
    """

    async def asyncSetUp(self):
        self.admission = Admission(1, clock=ManualClock())
        await self.admission.enter("gym", 1, LONG_MS)
        entering = self.admission.enter("gym", 1, LONG_MS)
        self.waiting = asyncio.ensure_future(entering)
        await let_run()

    async def check_free(self):
        with self.assertRaises(asyncio.CancelledError):
            await self.waiting
        self.assertEqual((self.admission.in_flight, self.admission.queued), (0, 0))
        await self.admission.enter("gym", 1, LONG_MS)

    async def test_gone_before_the_place_comes(self):
        self.waiting.cancel()
        await let_run()
        self.admission.exit("gym")
        await self.check_free()

    async def test_gone_just_before_the_place_comes(self):
        self.waiting.cancel()
        self.admission.exit("gym")
        await self.check_free()

    async def test_gone_just_after_the_place_came(self):
        self.admission.exit("gym")
        self.waiting.cancel()
        await self.check_free()
