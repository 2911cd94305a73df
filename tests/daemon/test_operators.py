import asyncio
import json
import unittest

from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_standins.running import Running
from tests.golden import check_golden
from tests.loopback import run

ENTRIES = {"entry-a": "kl-a", "entry-b": "kl-b", "entry-c": "kl-c"}


def record(team, zone="kl-a", share_percent=30):
    return {
        "schema": 1,
        "team": team,
        "zones": [zone],
        "offers": ["booking-assistant@2"],
        "share_percent": share_percent,
    }


def change(name, *puts, expected_revision=1, **more):
    body = {"change_id": name, "puts": puts, "expected_revision": expected_revision}
    return body | {"operator": "rahim", "summary": name} | more


class OperatorsCase(unittest.TestCase):
    def session(self, work):
        async def go():
            self.caller = HttpCaller(5_000)
            first = [record("gym-bangsar")]
            async with Running(ENTRIES, {"engine-a": "kl-a"}, records=first) as running:
                entries = running.entries.values()
                await running.until(lambda: all(one.ready for one in entries))
                await work(running)
            await self.caller.close()

        run(go())

    async def get(self, running, path, host="entry-a"):
        return await self.caller.call("GET", self.url(running, host, path))

    async def apply(self, running, body, host="entry-a"):
        url = self.url(running, host, "apply")
        return [line async for line in self.caller.lines("POST", url, body)]

    def url(self, running, host, path):
        address = running.entries[host].settings.http_address
        return f"http://{address}/operators/{path}"


class TestApply(OperatorsCase):
    def test_a_lost_answer_of_a_write_that_landed_ends_accepted(self):
        """An operator forbids a zone; the write lands and its answer is lost.

        Told `failed`, the operator would write again or go home believing that
        the zone is still allowed.
        """

        async def work(running):
            running.faults.lose_answers = 1
            body = change("move", record("gym-bangsar", zone="kl-b"))
            lines = await self.apply(running, body)
            shown = [line for line in lines if line["kind"] != "progress"]
            kept = await self.get(running, "placement")
            changes = [one["change_id"] for one in kept["history"]]
            revisions = [
                one.configuration.snapshot.revision for one in running.entries.values()
            ]
            check_golden(
                __file__,
                "apply_lost_answer",
                [
                    *map(json.dumps, shown),
                    f"history {changes}",
                    f"revisions {revisions}",
                ],
            )

        self.session(work)

    def test_one_of_two_racing_operators_is_told_of_the_conflict(self):
        """Two operators read revision 1 and each applies another change at once.

        If both were taken, the second would undo the first without a word.
        """

        async def work(running):
            both = await asyncio.gather(
                self.apply(running, change("one", record("gym-subang"))),
                self.apply(running, change("two", record("gym-klang")), "entry-b"),
            )
            ends = [lines[-1] for lines in both]
            outcomes = sorted(end["outcome"] for end in ends)
            self.assertEqual(outcomes, ["accepted", "conflict"])
            self.assertEqual([end["revision"] for end in ends], [2, 2])
            kept = await self.get(running, "placement")
            self.assertEqual(len(kept["history"]), 1)

        self.session(work)

    def test_what_is_refused_changes_nothing(self):
        async def work(running):
            greedy = change("greedy", record("gym-klang", share_percent=80))
            stale = change("stale", record("gym-klang"), expected_revision=0)
            unknown = change("unknown", record("gym-klang") | {"schema": 9})
            ends = [
                (await self.apply(running, body))[-1]
                for body in (greedy, stale, unknown)
            ]
            found = [f"{end['outcome']} {end['name']} {end['detail']}" for end in ends]
            check_golden(__file__, "apply_refused", found)
            self.assertEqual((await self.get(running, "placement"))["revision"], 1)

        self.session(work)

    def test_a_dry_run_shows_the_difference_only(self):
        async def work(running):
            body = change("try", record("gym-klang"), dry_run=True)
            lines = await self.apply(running, body)
            self.assertEqual(
                lines[0]["lines"], ["+ gym-klang in kl-a: booking-assistant@2 with 30%"]
            )
            self.assertEqual((await self.get(running, "placement"))["revision"], 1)

        self.session(work)

    def test_a_body_at_fault_says_what_to_change(self):
        async def work(running):
            with self.assertRaises(PlatformError) as seen:
                await self.apply(running, {"change_id": "x", "puts": []})
            self.assertIn("expected_revision", seen.exception.detail)

        self.session(work)


class TestRevert(OperatorsCase):
    def test_a_restored_backup_is_republished_above_what_is_in_force(self):
        """The service's operators restore yesterday's backup.

        Its records allow a zone that was forbidden since. No entry goes back, no
        change is built on the old records, and republishing ends the alarm.
        """

        async def work(running):
            entries = [one.configuration for one in running.entries.values()]
            running.put_placement(2, record("gym-bangsar", zone="kl-b"))
            await running.until(
                lambda: all(one.snapshot.revision == 2 for one in entries)
            )
            running.put_placement(1, record("gym-bangsar", zone="kl-a"))
            body = change("late", record("gym-klang"))
            refused = (await self.apply(running, body))[-1]
            self.assertEqual(refused["name"], "REVERT_REFUSED")
            url = self.url(running, "entry-a", "republish")
            body = {"change_id": "again"}
            ended = [line async for line in self.caller.lines("POST", url, body)][-1]
            self.assertEqual((ended["outcome"], ended["revision"]), ("accepted", 3))
            kept = await self.get(running, "placement")
            self.assertEqual(kept["records"][0]["zones"], ["kl-b"])

        self.session(work)


class TestRoster(OperatorsCase):
    def test_one_host_is_removed(self):
        async def work(running):
            url = self.url(running, "entry-a", "roster")
            body = {"change_id": "out", "host": "entry-c", "expected_revision": 1}
            lines = [line async for line in self.caller.lines("POST", url, body)]
            self.assertEqual(lines[1]["lines"], ["- entry-c in kl-c, kl"])
            self.assertEqual(lines[-1]["outcome"], "accepted")
            shown = await self.get(running, "status")
            self.assertEqual(shown["voters"], ["entry-a", "entry-b"])

        self.session(work)


class TestShow(OperatorsCase):
    def test_explain_says_why(self):
        async def work(running):
            agents = running.entries["entry-a"].hosts.table
            await running.until(
                lambda: any(one.live for one in agents.views("agent", now_ms(running)))
            )
            path = "explain?team=gym-bangsar&target=booking-assistant@2"
            shown = await self.get(running, path)
            self.assertEqual(shown["upstreams"][0]["reason"], "candidate")
            path = "explain?team=gym-bangsar&target=booking-assistant@3"
            shown = await self.get(running, path)
            self.assertEqual(
                shown["upstreams"][0]["reason"], "does not serve booking-assistant"
            )

        self.session(work)

    def test_status_counts_the_calls(self):
        async def work(running):
            shown = await self.get(running, "status")
            self.assertTrue(shown["fresh"])
            self.assertEqual(shown["voters"], sorted(ENTRIES))
            self.assertGreater(shown["service"]["calls"]["confirm"], 0)

        self.session(work)

    def test_placement_is_shown_from_memory_in_an_outage(self):
        async def work(running):
            running.faults.down = True
            shown = await self.get(running, "placement")
            self.assertEqual((shown["source"], shown["revision"]), ("entry", 1))

        self.session(work)


def now_ms(running):
    return running.entries["entry-a"].clock.now_ms()
