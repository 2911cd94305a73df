"""Half of all upstreams deleted at once: removed, or lost with their leases."""

import asyncio
import unittest
from unittest import mock

from fuchsiahatch_adapter.store import Item, LeaseLostError
from fuchsiahatch_gateway import following, item_copies, store_health
from fuchsiahatch_gateway.defaults import (
    LAPSE_GRACE_MS,
    LEASE_RENEWAL_INTERVAL_MS,
    REGISTRATION_TTL_MS,
)
from fuchsiahatch_gateway.item_copies import ItemCopy
from fuchsiahatch_gateway.registration import Registration
from fuchsiahatch_gateway.store_health import (
    ANSWERED_GRACE_MS,
    MIN_ABSENCE_MS,
    MIN_LAPSE_MS,
    AnswerGap,
    StoreHealth,
    choose_lapse_grace_ms,
    may_have_been_away,
)
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.sites import until
from tests.gateway.test_lost_watches import followed
from tests.loopback import run

#: Time within which a removed upstream must get no more requests.
DRAIN_MS = 2_000
#: Absence of the store in which it has forgotten its leases.
SHORT_ABSENCE_MS = 963
#: Time after which owners whose leases were lost are back.
BACK_MS = 400
NAMES = [str(number) for number in range(8)]


class Watched:
    """A copy of eight upstreams, and a store that answers renewals in virtual time."""

    def __init__(self, loop):
        self.clock, self.health = loop.make_clock(), StoreHealth()
        self.copy = ItemCopy("servers/", self.health, self.clock, lambda: None)
        self._revision = 0
        self.write(NAMES, b"{}")

    def write(self, names, value):
        self._revision += 1
        self.health.note_answer(self.clock.now_ms())
        self.copy.apply_changes(
            Item(f"servers/{name}", value, self._revision, 1) for name in names
        )

    async def renew(self, count, answer_ms=4):
        for _ in range(count):
            await self.wait(LEASE_RENEWAL_INTERVAL_MS + answer_ms)
            self.health.note_answer(self.clock.now_ms())

    async def wait(self, wait_ms):
        await asyncio.sleep(wait_ms / 1000)

    @property
    def names(self):
        return sorted(self.copy.items)


class TestMassDeletions(unittest.TestCase):
    def after_half_is_deleted(self, before, wait_ms, back=False):
        """Return what is known some time after half of all were deleted at once."""

        async def work(loop):
            watched = Watched(loop)
            await before(watched)
            watched.write(NAMES[:4], None)
            if back:
                await watched.wait(BACK_MS)
                watched.write(NAMES[:4], b"{}")
            await watched.wait(wait_ms)
            return watched.names

        return run_virtually(work)

    def test_half_of_all_removed_while_the_store_answers_leave_in_time(self):
        # Upstreams of a removed zone got requests for 2.3 s, though 2 s are allowed.
        seen_late_ms = following.BURST_PAUSE_MS
        names = self.after_half_is_deleted(
            lambda watched: watched.renew(5), DRAIN_MS - seen_late_ms - 100
        )
        self.assertEqual(names, NAMES[4:])

    def test_half_of_all_removed_from_a_real_store_leave_in_time(self):
        async def follow():
            async with followed(registered=True) as (store, _, _, copy, _):
                for name in NAMES:
                    store.put(f"servers/{name}", {})
                await until(lambda: sorted(copy.items) == NAMES)
                await asyncio.sleep(LAPSE_GRACE_MS / 1000 + 0.3)
                for name in NAMES[:4]:
                    store.remove(f"servers/{name}")
                await until(lambda: sorted(copy.items) == NAMES[4:], DRAIN_MS / 1000)

        run(follow())

    def test_upstreams_that_the_store_alone_turned_away_are_kept(self):
        # Guards against refusals while upstreams whose leases expired still work.
        names = self.after_half_is_deleted(
            lambda watched: watched.renew(5), ANSWERED_GRACE_MS, back=True
        )
        self.assertEqual(names, NAMES)
        names = self.after_half_is_deleted(
            lambda watched: watched.renew(5), ANSWERED_GRACE_MS - 100
        )
        self.assertEqual(names, NAMES)

    def check_withheld_as_after_an_outage(self, before):
        names = self.after_half_is_deleted(before, LAPSE_GRACE_MS - 100)
        self.assertEqual(names, NAMES)
        names = self.after_half_is_deleted(before, LAPSE_GRACE_MS + 100)
        self.assertEqual(names, NAMES[4:])

    def test_deletions_behind_an_absence_without_a_failed_call_are_withheld(self):
        # Guards against an outage of a second between two renewals (gcwa 9a94).
        async def before(watched):
            await watched.renew(5)
            await watched.wait(SHORT_ABSENCE_MS)

        self.check_withheld_as_after_an_outage(before)

    def test_deletions_seen_some_time_behind_such_an_absence_are_withheld(self):
        async def before(watched):
            await watched.renew(5)
            await watched.wait(SHORT_ABSENCE_MS)
            watched.health.note_answer(watched.clock.now_ms())
            await watched.wait(following.BURST_PAUSE_MS)

        self.check_withheld_as_after_an_outage(before)

    def test_deletions_behind_a_short_failure_are_withheld(self):
        async def before(watched):
            await watched.renew(5)
            await watched.wait(500)
            watched.health.note_failure(watched.clock.now_ms(), "503")
            await watched.wait(200)

        self.check_withheld_as_after_an_outage(before)

    def test_deletions_during_a_failure_are_withheld(self):
        async def work(loop):
            watched = Watched(loop)
            await watched.renew(5)
            watched.health.note_failure(watched.clock.now_ms(), "503")
            items = [Item(f"servers/{name}", None, 9, 1) for name in NAMES]
            watched.copy.apply_changes(items)
            await watched.wait(300)
            watched.health.note_answer(watched.clock.now_ms())
            await watched.wait(LAPSE_GRACE_MS - 400)
            return watched.names

        self.assertEqual(run_virtually(work), NAMES)

    def test_deletions_seen_by_a_process_that_only_watches_are_withheld(self):
        self.check_withheld_as_after_an_outage(lambda watched: watched.wait(3_000))

    def test_deletions_just_after_the_start_are_withheld(self):
        self.check_withheld_as_after_an_outage(lambda watched: watched.wait(500))

    def test_few_deletions_while_the_store_answers_count_at_once(self):
        async def work(loop):
            watched = Watched(loop)
            await watched.renew(5)
            watched.write(NAMES[: item_copies.MIN_LAPSED - 1], None)
            return watched.names

        self.assertEqual(run_virtually(work), NAMES[3:])

    def test_a_shorter_grace_time_does_not_end_a_longer_one(self):
        health = StoreHealth()
        with mock.patch.object(store_health, "log_event"):
            health.note_answer(0)
            health.note_lapse(LAPSE_GRACE_MS - 1, 8)
            health.note_lapse(LAPSE_GRACE_MS, 8)
        self.assertFalse(health.settled(2 * LAPSE_GRACE_MS - 2))
        self.assertTrue(health.settled(2 * LAPSE_GRACE_MS - 1))


class LeaseStore:
    """Answers the calls of a registration within `ANSWER_MS`."""

    ANSWER_MS = 4

    def __init__(self):
        self.era, self.renewals, self._leases = 1, 0, 0
        self._lost = set()

    def lose_leases(self):
        self._lost.update(range(self._leases + 1))

    async def grant(self, ttl_ms):
        await asyncio.sleep(self.ANSWER_MS / 1000)
        self._leases += 1
        return self._leases

    async def put(self, key, value, lease):
        await asyncio.sleep(self.ANSWER_MS / 1000)
        return 7

    async def keep(self, lease):
        self.renewals += 1
        is_lost = lease in self._lost
        await asyncio.sleep(self.ANSWER_MS / 1000)
        if is_lost:
            raise LeaseLostError("no such lease")


class TestHeldUpProcess(unittest.TestCase):
    """Half of all deleted, as a registered process sees it that runs late itself."""

    #: Just before a renewal is due.
    BEFORE_RENEWAL_MS = LEASE_RENEWAL_INTERVAL_MS - 1
    LATE_MS = (60, 200, 500)

    def check_known(self, play, ended_ms):
        """Check how long the deleted ones are known behind the deletion.

        Parameters
        ----------
        play : callable
            Is given the loop, the store and what is watched, just behind a renewal, and
            ends with the deletion.
        ended_ms : int
        """

        async def work(loop):
            store, watched = LeaseStore(), Watched(loop)
            registration = Registration(
                store, "entries/e", b"{}", watched.health, watched.clock
            )
            task = asyncio.ensure_future(registration.run())
            await until_virtually(lambda: store.renewals == 5)
            await watched.wait(LeaseStore.ANSWER_MS)
            await play(loop, store, watched)
            await watched.wait(ended_ms - 50)
            before = watched.names
            await watched.wait(60)
            task.cancel()
            return before, watched.names

        self.assertEqual(run_virtually(work), (NAMES, NAMES[4:]))

    def test_late_with_a_renewal_and_the_deletions_seen_at_once(self):
        # Removed upstreams got requests for 2.3 s where a renewal was 60 ms late.
        for late_ms in self.LATE_MS:

            async def play(loop, store, watched, late_ms=late_ms):
                await watched.wait(self.BEFORE_RENEWAL_MS)
                loop.hold_up(late_ms + 1)
                watched.write(NAMES[:4], None)

            with self.subTest(late_ms=late_ms):
                self.check_known(play, ANSWERED_GRACE_MS)

    def test_late_with_a_renewal_and_the_deletions_seen_behind_a_burst(self):
        for late_ms in self.LATE_MS:

            async def play(loop, store, watched, late_ms=late_ms):
                await watched.wait(self.BEFORE_RENEWAL_MS)
                loop.hold_up(late_ms + 1)
                await watched.wait(following.BURST_PAUSE_MS)
                watched.write(NAMES[:4], None)

            with self.subTest(late_ms=late_ms):
                self.check_known(play, ANSWERED_GRACE_MS)

    def test_late_with_the_answer_to_a_renewal(self):
        for late_ms in self.LATE_MS:

            async def play(loop, store, watched, late_ms=late_ms):
                await watched.wait(self.BEFORE_RENEWAL_MS + 3)
                loop.hold_up(late_ms)
                watched.write(NAMES[:4], None)

            with self.subTest(late_ms=late_ms):
                self.check_known(play, ANSWERED_GRACE_MS)

    def test_late_in_turn_with_each_renewal(self):
        async def play(loop, store, watched):
            for _ in range(3):
                await watched.wait(self.BEFORE_RENEWAL_MS)
                loop.hold_up(300)
                await watched.wait(LeaseStore.ANSWER_MS + 2)
            watched.write(NAMES[:4], None)

        self.check_known(play, ANSWERED_GRACE_MS)

    def test_late_with_an_answer_and_then_with_the_next_renewal(self):
        # Guards against a renewal behind the grace time that frees nothing for 2.3 s.
        async def play(loop, store, watched):
            await watched.wait(self.BEFORE_RENEWAL_MS + 3)
            loop.hold_up(MIN_ABSENCE_MS)
            watched.write(NAMES[:4], None)
            loop.call_later(self.BEFORE_RENEWAL_MS / 1000, loop.hold_up, 200)

        self.check_known(play, ANSWERED_GRACE_MS + 200)

    def test_an_absence_in_which_leases_are_lost_is_none_of_that(self):
        # Guards against an outage of a second between two renewals (gcwa 9a94).
        for late_ms in (SHORT_ABSENCE_MS - LEASE_RENEWAL_INTERVAL_MS, *self.LATE_MS):

            async def play(loop, store, watched, late_ms=late_ms):
                await watched.wait(self.BEFORE_RENEWAL_MS)
                loop.hold_up(late_ms + 1)
                store.lose_leases()
                watched.write(NAMES[:4], None)

            with self.subTest(late_ms=late_ms):
                self.check_known(play, LAPSE_GRACE_MS)

    def test_an_absence_whose_deletions_are_seen_behind_the_next_lease(self):
        async def play(loop, store, watched):
            await watched.wait(self.BEFORE_RENEWAL_MS)
            loop.hold_up(SHORT_ABSENCE_MS - LEASE_RENEWAL_INTERVAL_MS)
            store.lose_leases()
            watched.health.note_answer(watched.clock.now_ms())
            await watched.wait(following.BURST_PAUSE_MS + LEASE_RENEWAL_INTERVAL_MS)
            watched.write(NAMES[:4], None)

        self.check_known(play, LAPSE_GRACE_MS)

    def test_a_gap_in_which_leases_may_expire_one_by_one(self):
        # Guards against a renewal that an own lease outlives and upstreams' don't.
        async def play(loop, store, watched):
            await watched.wait(self.BEFORE_RENEWAL_MS)
            loop.hold_up(MIN_LAPSE_MS - LEASE_RENEWAL_INTERVAL_MS + 1)
            watched.write(NAMES[:4], None)

        self.check_known(play, LAPSE_GRACE_MS)


async def until_virtually(holds):
    while not holds():
        await asyncio.sleep(0.001)


class TestAnswerGap(unittest.TestCase):
    GAP = AnswerGap(5_000, 6_400)

    def test_a_lease_from_before_that_is_renewed_behind_it_excludes_a_loss(self):
        self.assertTrue(self.GAP.is_excluded_by(5_000, 6_400))
        self.assertTrue(self.GAP.is_excluded_by(4_000, 6_500))

    def test_a_lease_that_was_granted_in_it_shows_nothing(self):
        self.assertFalse(self.GAP.is_excluded_by(5_001, 6_400))

    def test_a_renewal_sent_early_leaves_the_time_behind_it(self):
        # Guards against an answer that was on its way before the store was away.
        self.assertTrue(self.GAP.is_excluded_by(4_000, 6_401 - MIN_ABSENCE_MS))
        self.assertFalse(self.GAP.is_excluded_by(4_000, 6_400 - MIN_ABSENCE_MS))


class TestEvidence(unittest.TestCase):
    def test_only_a_long_time_between_answers_may_hide_an_absence(self):
        self.assertTrue(may_have_been_away(None, 5_000))
        self.assertFalse(may_have_been_away(5_000, 5_000 + MIN_ABSENCE_MS - 1))
        self.assertTrue(may_have_been_away(5_000, 5_000 + MIN_ABSENCE_MS))
        self.assertTrue(may_have_been_away(5_000, 5_000 + SHORT_ABSENCE_MS))

    def test_the_grace_time_is_short_where_the_store_was_not_away(self):
        self.assertEqual(choose_lapse_grace_ms(None, 9_000), ANSWERED_GRACE_MS)
        self.assertEqual(choose_lapse_grace_ms(9_000, 9_000), LAPSE_GRACE_MS)
        just_after = 9_000 + LAPSE_GRACE_MS - 1
        self.assertEqual(choose_lapse_grace_ms(9_000, just_after), LAPSE_GRACE_MS)
        later = 9_000 + LAPSE_GRACE_MS
        self.assertEqual(choose_lapse_grace_ms(9_000, later), ANSWERED_GRACE_MS)

    def test_renewals_answered_in_time_leave_no_room_for_an_absence(self):
        self.assertLess(LEASE_RENEWAL_INTERVAL_MS, MIN_ABSENCE_MS)
        self.assertLess(MIN_ABSENCE_MS, REGISTRATION_TTL_MS)
        self.assertLess(following.BURST_PAUSE_MS + ANSWERED_GRACE_MS, DRAIN_MS)
