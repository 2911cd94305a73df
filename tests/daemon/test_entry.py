import json
import unittest

import treq

from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_standins.running import Running
from tests.loopback import LOOP, run

ENTRIES = {"entry-a": "kl-a", "entry-b": "kl-b", "entry-c": "kl-c"}


async def lookup(role):
    caller = HttpCaller()
    answer = await caller.call("GET", f"http://{role.settings.http_address}/lookup")
    await caller.close()
    return set(answer["addresses"])


class TestLookup(unittest.TestCase):
    def test_a_leaving_entry_is_named_by_no_entry(self):
        """An operator drains an entry; the lagging host list still shows it.

        A caller asks another entry for an address, is sent to the one that is
        leaving and loses a try, because only the leaving entry itself knew.
        """

        async def work():
            async with Running(ENTRIES) as running:
                leaving = running.entries["entry-a"]
                others = [running.entries["entry-b"], running.entries["entry-c"]]
                address = leaving.settings.http_address
                everyone = {
                    row["Service"]["Meta"]["http_address"] for row in running.rows
                }
                await running.until(
                    lambda: all(len(one.entry_rows()) == 3 for one in others)
                )
                self.assertEqual(await lookup(others[0]), everyone)
                leaving.leave()
                await running.until(
                    lambda: all(len(one.entry_rows()) == 2 for one in others)
                )
                for one in (leaving, *others):
                    self.assertEqual(await lookup(one), everyone - {address})

        run(work())


class TestFreshness(unittest.TestCase):
    def test_entries_confirm_each_other_in_an_outage(self):
        """The key-value service goes away for long; the entries are all well.

        They confirm each other's revision and go on admitting work, instead of
        refusing every request until the service is back.
        """

        async def work():
            async with Running(ENTRIES) as running:
                roles = running.entries.values()
                await running.until(lambda: all(one.ready for one in roles))
                running.faults.down = True
                before = [one.configuration.part.fresh_until_ms() for one in roles]
                await running.until(
                    lambda: all(
                        one.configuration.part.fresh_until_ms() > was + 2_000
                        for one, was in zip(roles, before, strict=True)
                    )
                )
                self.assertTrue(all(one.ready for one in roles))

        run(work())


class TestStaleEntry(unittest.TestCase):
    def test_is_refused_by_the_agent_and_catches_up(self):
        """A zone is forbidden while one entry hears nothing of it for a moment.

        It still admits a member's request for that zone. The agent there knows
        better, refuses it as not run, and the entry asks for what it missed.
        """

        async def work():
            first = placement("kl-b")
            agents = {"engine-b": "kl-b"}
            async with Running(ENTRIES, agents, records=[first]) as running:
                stale = running.entries["entry-a"]
                agent = running.agents["engine-b"]
                await running.until(lambda: stale.ready and knows_agent(stale))
                await running.until(lambda: agent.follower.snapshot.revision == 1)
                stale.configuration.stop()
                stale.peers.stop()
                # The others' heartbeats would tell it too, if one came just now.
                stale.peers._hear = lambda beats: None
                stale.configuration.hear_of_newer = heard.append
                running.put_placement(2, placement("kl-a"))
                await running.until(lambda: agent.follower.snapshot.revision == 2)
                status, body = await complete(stale)
                self.assertEqual((status, body["error"]["name"]), STALE)
                self.assertEqual(heard, [""])
                del stale.configuration.hear_of_newer
                stale.configuration.hear_of_newer("")
                await running.until(lambda: stale.configuration.snapshot.revision == 2)

        heard = []
        run(work())


STALE = (503, "STALE_REVISION")


def placement(zone):
    return {
        "schema": 1,
        "team": "gym-bangsar",
        "zones": [zone],
        "offers": ["booking-assistant@2"],
        "share_percent": 30,
    }


def knows_agent(role):
    return any(one.live for one in role.hosts.table.views("agent", role.clock.now_ms()))


async def complete(role):
    """Send a chat completion and return status and decoded body."""
    address = role.settings.http_address
    body = json.dumps({"model": "booking-assistant", "messages": []}).encode()
    headers = {"Fuchsiahatch-Team": "gym-bangsar"}
    url = f"http://{address}/v1/chat/completions"
    sent = treq.post(url, data=body, headers=headers, persistent=False)
    response = await sent.asFuture(LOOP)
    return response.code, json.loads(await treq.content(response).asFuture(LOOP))
