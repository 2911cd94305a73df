import random
import unittest
from types import SimpleNamespace

from fuchsiahatch_adapter.configuration import decode_configuration
from fuchsiahatch_core.exceptions import RefusedError, RequestError
from fuchsiahatch_gateway.routes import (
    RouteTable,
    choose_service,
    route_urgencies,
    shortest_gap_ms,
)
from tests.gateway.sites import HOST, KEY, dump, make_configuration, make_route


def request(path, key=KEY, host=HOST):
    return SimpleNamespace(path=path, key=key, host=host)


class TestRouteTable(unittest.TestCase):
    def setUp(self):
        self.table = RouteTable()

    def apply(self, version=1, **changes):
        return self.table.apply(dump(make_configuration(version, **changes)))

    def test_requests_are_refused_without_a_configuration(self):
        with self.assertRaises(RefusedError):
            self.table.match(request("/safe/"))

    def test_only_a_newer_version_is_applied(self):
        self.assertTrue(self.apply(3))
        self.assertFalse(self.apply(3))
        self.assertFalse(self.apply(2))
        self.assertTrue(self.apply(9))

    def test_team_urgency_overrides_the_routes(self):
        document = make_configuration()
        document["tenants"][0]["priority"] = 0
        self.table.apply(dump(document))
        self.assertEqual(self.table.match(request("/safe/")).urgency, 0)
        self.assertEqual(self.table.match(request("/open/", "")).urgency, 1)

    def test_host_and_prefix_must_match(self):
        self.apply()
        for path, host in (("/saf", HOST), ("/safe", HOST), ("/safe/", "other")):
            with self.assertRaises(RequestError):
                self.table.match(request(path, host=host))


class TestServices(unittest.TestCase):
    def routes(self, *routes):
        document = make_configuration(routes=list(routes))
        return decode_configuration(dump(document)).routes

    def test_services_are_drawn_by_weight(self):
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        (route,) = self.routes(make_route("/p/", "safe", backends=split))
        rng = random.Random(1)
        chosen = [choose_service(route, rng) for _ in range(2_000)]
        self.assertAlmostEqual(chosen.count("a") / 2_000, 0.9, delta=0.03)

    def test_lowest_gap_objective_of_a_services_routes(self):
        routes = self.routes(
            make_route("/a/", "streaming", "m", gapAimMs=150),
            make_route("/b/", "streaming", "m", gapAimMs=120),
            make_route("/c/", "streaming", "n", gapAimMs=50),
            make_route("/d/", "safe", "m"),
        )
        self.assertEqual(shortest_gap_ms(routes, "m"), 120)
        self.assertEqual(shortest_gap_ms(routes, "none"), 0)

    def test_priorities_of_a_services_routes(self):
        routes = self.routes(
            make_route("/a/", "streaming", "m", priority=2),
            make_route("/b/", "streaming", "m", priority=0),
            make_route("/c/", "safe", "m", priority=2),
            make_route("/d/", "safe", "n", priority=1),
        )
        self.assertEqual(route_urgencies(routes, "m"), (0, 2))
        self.assertEqual(route_urgencies(routes, "none"), ())

    def test_a_later_configuration_replaces_what_is_known_of_services(self):
        # Rooms would be computed by an objective that the operator has changed.
        table = RouteTable()
        for version, gap_ms in ((1, 150), (2, 200)):
            routes = [make_route("/a/", "streaming", gapAimMs=gap_ms, priority=version)]
            table.apply(dump(make_configuration(version, routes=routes)))
            self.assertEqual(table.gap_ms_of("svc"), gap_ms)
            self.assertEqual(table.urgencies_of("svc"), (version,))
        self.assertEqual(table.gap_ms_of("other"), 0)
        self.assertEqual(table.urgencies_of("other"), ())
