import asyncio
import unittest

from tests.gateway.mortal_upstreams import DEADLY, MortalUpstream, deadly_sends
from tests.gateway.sites import Site, until
from tests.loopback import run

#: Ends of upstreams behind which a request may be sent on no more, and the sends behind
#: them that are borne.
MOST_ENDS, MOST_SENDS_BEHIND = 3, 3
#: Pause between two arrivals of the request: all upstreams are back meanwhile.
PAUSE_S = 0.4


async def come_again(site, upstreams, times, path="/safe/"):
    """Send the deadly request again and again, each time under another id."""
    replies = []
    for number in range(times):
        replies.append(await site.ask(path, request_id=f"d-{number}", body=DEADLY))
        await asyncio.sleep(PAUSE_S)
    return replies


class TestOneEntry(unittest.TestCase):
    def test_a_request_that_ended_three_upstreams_is_sent_to_no_further_ones(self):
        async def play():
            async with Site() as site:
                upstreams = [MortalUpstream(site, name) for name in "abcd"]
                site.upstreams = upstreams
                for one in upstreams:
                    await one.start()
                await until(lambda: len(site.entry.fleet.upstreams) == len(upstreams))
                await come_again(site, upstreams, 8)
                other = await site.ask("/safe/", request_id="q", body=b"harmless")
                return deadly_sends(upstreams), other.status

        sends, other = run(play())
        self.assertLessEqual(sends, MOST_ENDS + MOST_SENDS_BEHIND)
        self.assertEqual(other, 200)


if __name__ == "__main__":
    unittest.main()
