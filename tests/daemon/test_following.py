import unittest
from unittest import mock

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import PlatformError, RefusedError
from fuchsiahatch_daemon import following, host_watch
from fuchsiahatch_standins.running import Running
from fuchsiahatch_wire import attempts_pb2
from tests.loopback import LOOP, run

ENTRIES = {"entry-a": "kl-a", "entry-b": "kl-b"}
AGENTS = {"engine-a": "kl-a"}


def record(*zones):
    return {
        "schema": 1,
        "team": "gym-bangsar",
        "zones": list(zones),
        "offers": ["booking-assistant@2"],
        "share_percent": 30,
    }


def request(revision, entry="entry-b", version="2"):
    return attempts_pb2.RunRequest(
        attempt=attempts_pb2.AttemptId(entry=entry, incarnation="1", counter=1),
        team="gym-bangsar",
        offer_name="booking-assistant",
        offer_version=version,
        revision=revision,
    )


class TestHostList(unittest.TestCase):
    def test_an_agent_whose_first_readings_fail_follows_soon(self):
        # Until it follows an entry it refuses all work as not allowed.
        failures = iter(range(2))

        async def read_rows(host_list):
            if next(failures, None) is not None:
                raise PlatformError("the host list can't be read")
            return await host_watch.read_rows(host_list)

        async def work():
            with mock.patch.object(following, "read_rows", read_rows):
                async with Running(
                    ENTRIES, AGENTS, records=[record("kl-a")]
                ) as running:
                    follower = running.agents["engine-a"].follower
                    began_s = LOOP.time()
                    await running.until(lambda: follower.snapshot.revision == 1)
                    return LOOP.time() - began_s

        self.assertLess(run(work()), following.LIST_MS / 2 / 1_000)


class TestSecondCheck(unittest.TestCase):
    def session(self, work):
        async def go():
            async with Running(ENTRIES, AGENTS, records=[record("kl-a")]) as running:
                follower = running.agents["engine-a"].follower
                await running.until(lambda: follower.snapshot.revision == 1)
                await work(running, follower)

        run(go())

    def replace(self, running, revision, *zones):
        running.put_placement(revision, record(*zones))

    async def refusal(self, follower, asked, waited=False):
        with self.assertRaises(RefusedError) as seen:
            await follower.check(asked, waited)
        return seen.exception.result

    def test_a_stale_entry_is_refused(self):
        """An operator forbids a zone; one entry hasn't heard of it and sends work.

        The agent in that zone has heard of it from another entry. Without its own
        check it would answer in a place that was just forbidden.
        """

        async def work(running, follower):
            await follower.check(request(revision=1), False)
            self.replace(running, 2, "kl-b")
            await running.until(lambda: follower.snapshot.revision == 2)
            stale = await self.refusal(follower, request(revision=1))
            self.assertIs(stale, Code.STALE_REVISION)

        self.session(work)

    def test_a_place_that_was_forbidden_during_the_wait_is_refused(self):
        async def work(running, follower):
            self.replace(running, 2, "kl-a", "kl-b")
            await running.until(lambda: follower.snapshot.revision == 2)
            await follower.check(request(revision=1), True)
            self.replace(running, 3, "kl-b")
            await running.until(lambda: follower.snapshot.revision == 3)
            late = await self.refusal(follower, request(revision=1), waited=True)
            self.assertIs(late, Code.NO_ALLOWED_PLACE)

        self.session(work)

    def test_a_faulty_entry_is_refused(self):
        async def work(running, follower):
            wrong = await self.refusal(follower, request(revision=1, version="3"))
            self.assertIs(wrong, Code.NO_ALLOWED_PLACE)

        self.session(work)

    def test_learns_a_newer_revision_from_the_entry_that_has_it(self):
        async def work(running, follower):
            follower.stop()
            self.replace(running, 2, "kl-a", "kl-b")
            entry = running.entries["entry-b"].configuration
            await running.until(lambda: entry.snapshot.revision == 2)
            await follower.check(request(revision=2), False)
            self.assertEqual(follower.snapshot.revision, 2)
            unheard = await self.refusal(follower, request(revision=3))
            self.assertIs(unheard, Code.STALE_REVISION)

        self.session(work)

    def test_knows_its_zone_s_shares(self):
        async def work(running, follower):
            self.assertEqual(follower.share_of("gym-bangsar"), 30)
            self.assertEqual(follower.share_of("nobody"), 0)

        self.session(work)
