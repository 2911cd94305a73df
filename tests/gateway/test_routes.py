import random
import unittest
from types import SimpleNamespace

from fuchsiahatch_adapter.configuration import decode_configuration
from fuchsiahatch_core.exceptions import RefusedError, RequestError
from fuchsiahatch_gateway.routes import (
    RouteTable,
    choose_service,
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

    def test_classes_are_those_of_the_latest_configuration(self):
        """Guards against classes that outlive the routes that stated them."""
        split = [{"service": "m", "weight": 1}, {"service": "n", "weight": 1}]
        self.assertFalse(self.table.has_classes("m"))
        routes = [
            make_route("/a/", "safe", "m", priority=5),
            make_route("/b/", "safe", "m", priority=0),
            make_route("/c/", "safe", priority=1, backends=split),
            make_route("/d/", "safe", "m", priority=0),
        ]
        self.apply(1, routes=routes)
        self.assertEqual([*map(self.table.class_count, "mnx")], [3, 1, 1])
        self.assertEqual([*map(self.table.has_classes, "mnx")], [True, False, False])
        self.apply(2, routes=routes[1:2])
        self.assertEqual([*map(self.table.has_classes, "mn")], [False, False])

    def test_classes_go_by_the_teams_priority_and_then_the_routes(self):
        """Guards against a team's priority that makes all its requests alike."""
        document = make_configuration(
            routes=[
                make_route("/urgent/", "safe", priority=0),
                make_route("/usual/", "safe", priority=2),
                make_route("/open/", "safe", priority=1, public=True),
            ]
        )
        document["tenants"][0]["priority"] = 1
        document["tenants"].append({"name": "b", "apiKeys": ["b"], "priority": 0})
        self.table.apply(dump(document))
        classes = [
            self.table.class_of(self.table.match(request(path, key)), "svc")
            for key in ("b", KEY)
            for path in ("/urgent/", "/usual/")
        ]
        self.assertEqual(classes, [0, 1, 2, 3])
        self.assertEqual(self.table.class_count("svc"), 4)

    def test_routes_without_a_key_make_no_classes(self):
        """Guards against classes that only routes outside all teams would ask for."""
        routes = [
            make_route("/usual/", "safe", priority=2),
            make_route("/open/", "safe", priority=0, public=True),
        ]
        self.apply(routes=routes)
        self.assertFalse(self.table.has_classes("svc"))
        match = self.table.match(request("/usual/"))
        self.assertEqual(self.table.class_of(match, "svc"), 2)

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

    def test_a_later_configuration_replaces_what_is_known_of_services(self):
        # Rooms would be computed by an objective that the operator has changed.
        table = RouteTable()
        for version, gap_ms in ((1, 150), (2, 200)):
            routes = [make_route("/a/", "streaming", gapAimMs=gap_ms)]
            table.apply(dump(make_configuration(version, routes=routes)))
            self.assertEqual(table.gap_ms_of("svc"), gap_ms)
        self.assertEqual(table.gap_ms_of("other"), 0)
