"""The priority that an upstream is told of a request."""

import unittest

from tests.gateway.sites import (
    Site,
    answers,
    make_configuration,
    make_route,
    refuses,
    streams,
    until,
    upstream,
)
from tests.loopback import run

PRIORITY = "fuchsiahatch-request-priority"
#: A caller's own priority, which upstreams must not get.
FORGED = [("Fuchsiahatch-Request-Priority", "0")]
#: A body that is complete on plain and on streaming routes.
EVENT = b"data: ok\n\n"
ROUTES = [
    make_route("/urgent/", "safe", priority=0),
    make_route("/usual/", "safe", priority=1),
    make_route("/batch/", "streaming", priority=12, resumeStreams=True),
]


async def apply(site, routes, team_priority=None):
    version = site.entry.routes.configuration.version + 1
    document = make_configuration(version, routes)
    document["tenants"][0]["priority"] = team_priority
    site.store.put("op/config", document)
    await until(lambda: site.entry.routes.configuration.version == version)


async def ask_all(routes, *paths, scripts=(answers(body=EVENT),), team_priority=None):
    """Return the priority in each request that reached the upstream."""
    server = upstream(*scripts)
    async with Site(server) as site:
        await apply(site, routes, team_priority)
        for path in paths:
            await site.ask(path, headers=FORGED)
    return [request.headers.get(PRIORITY) for request in server.received]


class TestPriorityHeader(unittest.TestCase):
    def test_an_upstream_is_told_the_class_of_each_request(self):
        """Guards against upstreams that admit by a caller's own claim, or by none."""
        asked = ask_all(ROUTES, "/urgent/", "/usual/", "/batch/")
        self.assertEqual(run(asked), ["0", "1", "2"])

    def test_the_least_urgent_of_many_classes_share_the_last_priority(self):
        """Guards against a stated priority beyond the largest that upstreams take."""
        routes = [make_route(f"/{n}/", "safe", priority=n) for n in range(12)]
        asked = ask_all(routes, "/8/", "/9/", "/11/")
        self.assertEqual(run(asked), ["8", "9", "9"])

    def test_no_priority_is_stated_where_all_routes_have_the_same(self):
        self.assertEqual(run(ask_all(ROUTES[:1], "/urgent/")), [None])
        other = make_route("/other/", "safe", "other", priority=4)
        self.assertEqual(run(ask_all([ROUTES[1], other], "/usual/")), [None])

    def test_routes_decide_among_requests_of_equal_teams(self):
        asked = ask_all(ROUTES, "/usual/", "/batch/", team_priority=3)
        self.assertEqual(run(asked), ["1", "2"])

    def test_retried_and_resumed_requests_keep_their_class(self):
        """Guards against requests that lose their class on their second attempt."""
        asked = ask_all(ROUTES, "/urgent/", scripts=(refuses(), answers()))
        self.assertEqual(run(asked), ["0", "0"])
        scripts = (streams(1, 2, end=False), streams(3, 4))
        self.assertEqual(run(ask_all(ROUTES, "/batch/", scripts=scripts)), ["2", "2"])

    def test_a_change_of_the_routes_applies_to_the_next_request(self):
        async def asks():
            server = upstream(answers())
            async with Site(server) as site:
                for routes in (ROUTES, ROUTES[1:2], ROUTES):
                    await apply(site, routes)
                    await site.ask("/usual/")
            return [request.headers.get(PRIORITY) for request in server.received]

        self.assertEqual(run(asks()), ["1", None, "1"])
