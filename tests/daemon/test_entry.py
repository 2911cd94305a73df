import unittest

from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_standins.running import Running
from tests.loopback import run

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
