import asyncio
import time
import unittest

from tests.gateway.sites import Site, upstream
from tests.loopback import run

#: Time after an answer in which requests that were already on their way may arrive, and
#: how many of them may.
IN_FLIGHT_S = 0.5
MAX_IN_FLIGHT = 2


def rejects(arrivals, retry_after):
    """Return a script that notes each arrival and rejects it with Retry-After."""

    async def script(request, wire):
        arrivals.append(time.monotonic())
        headers = {"Fuchsiahatch-Not-Executed": "1", "Retry-After": retry_after}
        await wire.answer(request, 503, b"", headers)

    return script


async def answers_slowly(request, wire):
    await asyncio.sleep(0.15)
    await wire.answer(request)


async def send_steadily(site, per_s, for_s):
    """Send requests at a steady rate and return their replies."""
    asked = []
    for number in range(int(per_s * for_s)):
        ask = site.ask("/safe/x", request_id=f"q-{number}")
        asked.append(asyncio.ensure_future(ask))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*asked)


def excess_arrivals(arrivals, span_s):
    """Return the most arrivals in a span that began with a rejection."""
    return max(
        sum(began + IN_FLIGHT_S < at < began + span_s for at in arrivals)
        for began in arrivals
    )


class TestRetryAfter(unittest.TestCase):
    def test_no_request_reaches_an_upstream_before_its_retry_after_has_passed(self):
        async def play():
            rejected = []
            async with Site(
                upstream(rejects(rejected, "3")), upstream(answers_slowly)
            ) as site:
                replies = await send_steadily(site, per_s=44, for_s=3.5)
            return rejected, replies

        rejected, replies = run(play())
        self.assertTrue(rejected)
        self.assertLessEqual(excess_arrivals(rejected, 3.0), MAX_IN_FLIGHT)
        self.assertEqual({reply.status for reply in replies}, {200})


if __name__ == "__main__":
    unittest.main()
