"""An upstream is given up only for another attempt that its request will get."""

import asyncio
import unittest

from tests.gateway.sites import (
    ROUTES,
    Site,
    make_configuration,
    until,
    upstream,
)
from tests.loopback import run

#: Deadline of requests, and when a stopping entry ends, which is before it.
DEADLINE_MS, ENDS_MS = 4_000, 3_000
#: Time for which an upstream is silent: longer than a request waits for it if it can
#: be sent to another one.
SILENT_S = 2.2


async def put_routes(site):
    routes = [{**route, "timeoutMs": DEADLINE_MS} for route in ROUTES]
    site.store.put("op/config", make_configuration(2, routes))
    await until(lambda: site.entry.routes.configuration.version == 2)


class TestStoppingEntry(unittest.TestCase):
    """A stopping entry sends no request again that may outlast it."""

    def ask_silent(self, path, stops):
        async def late(request, wire):
            await asyncio.sleep(SILENT_S)
            if path == "/safe/":
                await wire.answer(request)
                return
            await wire.begin_stream(request)
            await wire.event(1)
            await wire.end_stream()

        async def play():
            servers = upstream(late), upstream(late)
            async with Site(*servers) as site:
                await put_routes(site)
                asked = asyncio.ensure_future(site.ask(path, deadline_ms=DEADLINE_MS))
                await until(lambda: any(one.received for one in servers))
                if stops:
                    entry = site.entry
                    entry.callers.leave()
                    entry.stop_admission.begin(entry._clock.now_ms() + ENDS_MS)
                reply = await asked
                return reply, sum(len(one.received) for one in servers)

        return run(play())

    def test_a_late_stream_is_waited_for(self):
        reply, received = self.ask_silent("/chat/", stops=True)
        self.assertEqual((reply.status, reply.whole, received), (200, True, 1))

    def test_a_late_answer_is_waited_for(self):
        reply, received = self.ask_silent("/safe/", stops=True)
        self.assertEqual((reply.status, reply.whole, received), (200, True, 1))

    def test_without_a_stop_it_is_sent_to_another_upstream(self):
        _, received = self.ask_silent("/chat/", stops=False)
        self.assertEqual(received, 2)


if __name__ == "__main__":
    unittest.main()
