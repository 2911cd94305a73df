import asyncio
import unittest

from tests.gateway.mortal_upstreams import MortalUpstream
from tests.gateway.sites import Site
from tests.loopback import run

BACK_S = 0.05


class TestMortalUpstream(unittest.TestCase):
    def test_one_that_is_closed_behind_its_crash_opens_no_socket_in_a_later_test(self):
        async def play():
            async with Site() as site:
                one = MortalUpstream(site, "a", BACK_S)
                await one.start()
                ending = asyncio.ensure_future(one.end())
                await asyncio.sleep(0)
                site.upstreams = [one]
            await ending
            return one.incarnations

        self.assertEqual(run(play()), 1)
