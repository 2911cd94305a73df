import asyncio
import unittest

from tests.gateway.mortal_upstreams import DEADLY, MortalUpstream, deadly_sends
from tests.gateway.sites import until
from tests.loopback import run
from tests.processes.entries import IPS, EntryProcesses

#: Crashes that are borne.
MOST_ENDS = 3


def make_mortal_upstreams(entries):
    return [MortalUpstream(entries, name) for name in "abcd"]


class TestProcesses(unittest.TestCase):
    def test_a_request_that_comes_at_any_entry_is_held_back_also_behind_a_kill(self):
        async def play():
            async with EntryProcesses(make_mortal_upstreams) as entries:
                for number in range(5):
                    ip = IPS[number % len(IPS)]
                    await entries.ask(ip, f"d-{number}", DEADLY)
                    await asyncio.sleep(0.5)
                sends = deadly_sends(entries.upstreams)
                held = "fuchsiahatch-held/"
                await until(lambda: entries.store.keys(held))
                for ip in IPS:
                    await entries.kill(ip)
                for ip in IPS:
                    entries.start(ip)
                for ip in IPS:
                    await entries.until_ready(ip)
                replies = [await entries.ask(ip, f"k-{ip}", DEADLY) for ip in IPS]
                other = await entries.ask(IPS[0], "q", b"harmless")
                again = deadly_sends(entries.upstreams)
            return sends, again, replies, other, entries.lines

        sends, again, replies, other, lines = run(play())
        self.assertLessEqual(sends, MOST_ENDS)
        self.assertEqual(again, sends)
        self.assertEqual([reply.status for reply in replies], [503] * len(IPS))
        self.assertIn(b"CRASHES_UPSTREAMS", replies[0].body)
        self.assertGreater(float(replies[0].headers["retry-after"]), 60)
        self.assertEqual(other.status, 200)
        told = {line["message_type"] for line in lines}
        self.assertLessEqual({"crash_counted", "request_held", "hold_written"}, told)


if __name__ == "__main__":
    unittest.main()
