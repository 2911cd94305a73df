import json
import pathlib
import tempfile
import unittest

from fuchsiahatch_adapter.caller_requests import (
    MAX_SHARED_PARTS,
    decode_request,
    upstream_headers,
)
from fuchsiahatch_adapter.configuration import ColdStart, Kind, decode_configuration
from fuchsiahatch_adapter.lookup_calls import encode_lookup, is_ready_check, lookup_zone
from fuchsiahatch_adapter.node_settings import read_node_settings
from fuchsiahatch_adapter.upstreams import (
    MAX_COLD_MS,
    decode_report,
    decode_upstream_entry,
)
from fuchsiahatch_core.exceptions import FormError, SettingsError
from fuchsiahatch_experts.rank_orders import Armed
from fuchsiahatch_standins.fleet_store import make_upstream_entry

SETTINGS = {
    "node": "side-kl-a-1",
    "role": "agent",
    "zone": "kl-a",
    "region": "klang-valley",
    "ip": "10.1.0.43",
    "listen": {},
    "internalPorts": [7340, 7355],
    "bootstrap": True,
    "limits": {"linkMbps": 8.0},
    "bounds": {
        "graceS": 8,
        "retryBudgetRatio": 0.2,
        "budgetSlack": 90,
        "budgetWindowS": 10,
    },
    "app": "10.1.0.43:8228",
    "service": "svc",
    "platform": {"address": "10.200.1.7:8223", "historyS": 20, "ttlMinMs": 1000},
    "new": {"field": 1},
}
ROUTE = {
    "name": "r",
    "host": "h.example",
    "prefix": "/p/",
    "kind": "streaming",
    "timeoutMs": 8000,
    "targetLatencyMs": 502,
    "priority": 1,
    "backends": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
    "maxAttempts": 2,
    "resumeStreams": True,
    "gapAimMs": 120,
}


class FakeExchange:
    def __init__(self, target=b"/p/x?y=1", **headers):
        self.target = target
        self.headers = [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in headers.items()
        ]

    def header(self, name):
        return next((value for key, value in self.headers if key == name), None)


class TestSettings(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            path.write_text(text, "utf-8")
            return read_node_settings(path)

    def test_fields_are_decoded(self):
        settings = self.read(json.dumps(SETTINGS))
        self.assertEqual(str(settings.local_upstream), "10.1.0.43:8228")
        self.assertIsNone(settings.callers)
        self.assertEqual(settings.bounds.stop_grace_ms, 8_000)
        self.assertEqual(settings.link_bytes_per_s, 1_000_000)
        self.assertEqual(str(settings.store.address), "10.200.1.7:8223")
        self.assertEqual(settings.store.min_lease_ms, 1_000)
        self.assertEqual(settings.store.history_ms, 20_000)

    def test_zones_have_regions_where_they_are_given(self):
        self.assertEqual(self.read(json.dumps(SETTINGS)).zones, {})
        zones = {"kl-a": "klang-valley", "pg-a": "penang"}
        read = self.read(json.dumps({**SETTINGS, "zones": zones}))
        self.assertEqual(read.zones, zones)
        for wrong in (["kl-a"], {"kl-a": None}, {"kl-a": ""}):
            with self.subTest(zones=wrong), self.assertRaises(SettingsError):
                self.read(json.dumps({**SETTINGS, "zones": wrong}))

    def test_bounds_of_cold_upstreams_are_optional(self):
        # Settings of a deployment without cold starts state none.
        bounds = self.read(json.dumps(SETTINGS)).bounds
        self.assertEqual((bounds.cold_over, bounds.cold_slack), (None, None))
        stated = {**SETTINGS["bounds"], "coldOver": 1.5, "coldSlack": 5}
        bounds = self.read(json.dumps({**SETTINGS, "bounds": stated})).bounds
        self.assertEqual((bounds.cold_over, bounds.cold_slack), (1.5, 5.0))

    def test_the_error_names_the_fault(self):
        without = {name: SETTINGS[name] for name in SETTINGS if name != "zone"}
        for text, word in (
            (json.dumps(without), "zone"),
            ("{", "JSON"),
            (json.dumps({**SETTINGS, "internalPorts": 5}), "TypeError"),
        ):
            with self.assertRaisesRegex(SettingsError, word):
                self.read(text)


class TestConfiguration(unittest.TestCase):
    def decode(self, **changes):
        document = {
            "version": 7,
            "routes": [ROUTE],
            "services": [{"name": "a", "maxConnections": 100}],
            "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 0}],
        }
        return decode_configuration(json.dumps({**document, **changes}).encode())

    def test_a_route_is_decoded(self):
        (route,) = self.decode().routes
        self.assertIs(route.kind, Kind.STREAM)
        self.assertTrue(route.repeatable)
        self.assertEqual(route.services, (("a", 90.0), ("b", 10.0)))
        self.assertEqual((route.objective_ms, route.gap_ms), (502, 120))

    def decode_cold_start(self, **figures):
        services = [{"name": "a", "maxConnections": 100, **figures}]
        return self.decode(services=services).services["a"].cold_start

    def test_figures_of_cold_upstreams_are_decoded_if_both_are_stated(self):
        both = {"coldStartS": 3.0, "coldPerS": 15.0}
        self.assertEqual(self.decode_cold_start(**both), ColdStart(3_000, 15.0))
        for name in both:
            self.assertIsNone(self.decode_cold_start(**{name: both[name]}))
            self.assertIsNone(self.decode_cold_start(**{**both, name: 0}))
            for wrong in (-1, "nan", "inf", [3]):
                with self.assertRaises(FormError):
                    self.decode_cold_start(**{**both, name: wrong})

    def test_only_idempotent_routes_and_resumable_streams_are_repeatable(self):
        for kind, resumable, repeatable in (
            ("safe", False, True),
            ("unsafe", False, False),
            ("unsafe", True, False),
            ("streaming", False, False),
            ("streaming", True, True),
        ):
            route = {**ROUTE, "kind": kind, "resumeStreams": resumable}
            (decoded,) = self.decode(routes=[route]).routes
            self.assertEqual(decoded.repeatable, repeatable, (kind, resumable))

    def test_teams_are_found_by_key_if_there_are_any(self):
        self.assertEqual(self.decode().teams["k2"].name, "t")
        self.assertIsNone(self.decode(tenants=None).teams)

    def test_allowed_regions_of_routes_and_teams_are_decoded(self):
        team = {"name": "t", "apiKeys": ["k1"]}
        for stated, regions in (
            ({}, None),
            ({"allowedRegions": []}, None),
            ({"allowedRegions": None}, None),
            ({"allowedRegions": ["x", "y", "x"]}, frozenset("xy")),
        ):
            with self.subTest(stated=stated):
                decoded = self.decode(routes=[ROUTE | stated], tenants=[team | stated])
                self.assertEqual(decoded.routes[0].allowed_regions, regions)
                self.assertEqual(decoded.teams["k1"].allowed_regions, regions)

    def test_allowed_regions_in_another_form_are_rejected(self):
        # Ignored, they would let requests into regions that the operator has excluded.
        for stated in ("x", {"x": 1}, [1], [""], 5, False):
            with self.subTest(stated=stated), self.assertRaises(FormError):
                self.decode(routes=[{**ROUTE, "allowedRegions": stated}])

    def test_an_unknown_kind_of_route_is_rejected(self):
        with self.assertRaises(FormError):
            self.decode(routes=[{**ROUTE, "kind": "else"}])


class TestUpstreams(unittest.TestCase):
    def test_an_entry_is_decoded(self):
        value = make_upstream_entry("a", "10.0.0.1:80", state="draining", born=17)
        entry = decode_upstream_entry("i-1", json.dumps(value).encode())
        self.assertTrue(entry.leaving)
        self.assertEqual(str(entry.address), "10.0.0.1:80")
        self.assertEqual(entry.born_ms, 17)

    def test_the_remaining_time_of_a_cold_upstream_is_decoded(self):
        for remaining_ms, expected in ((0, 0), (1_799.2, 1_800), (1e300, MAX_COLD_MS)):
            value = make_upstream_entry(
                "a", "10.0.0.1:80", coldRemainingMs=remaining_ms
            )
            entry = decode_upstream_entry("i-1", json.dumps(value).encode())
            self.assertEqual(entry.cold_remaining_ms, expected)

    def test_a_report_of_a_rank_is_decoded(self):
        report = decode_report(
            {
                "queued": 1,
                "running": 3,
                "pace": 2.5,
                "group": {"name": "g", "epoch": 2, "rank": 5, "state": "broken"},
                "size": 8,
                "step": 812,
                "map": 4,
                "prepared": 5,
                "armed": {"version": 5, "step": 815},
                "held": 815,
            }
        )
        self.assertFalse(report.open)
        self.assertEqual((report.rank, report.ranks, report.epoch), (5, 8, 2))
        self.assertEqual((report.armed, report.held), (Armed(5, 815), 815))

    def test_a_report_without_a_group_is_decoded(self):
        report = decode_report({"queued": 0, "running": 0})
        self.assertEqual((report.group, report.armed, report.held), ("", None, None))


class TestRequests(unittest.TestCase):
    def test_a_callers_headers_are_decoded(self):
        request = decode_request(
            FakeExchange(
                host="H.example:80",
                authorization="token key-1",
                fuchsiahatch_request_id="q",
                fuchsiahatch_deadline_ms="1500.5",
                fuchsiahatch_token_usage="1460,80",
                fuchsiahatch_prompt_prefix="5c1e:800, 91bd:410",
            )
        )
        self.assertEqual((request.host, request.path), ("h.example", "/p/x"))
        self.assertEqual((request.key, request.deadline_ms), ("key-1", 1_500))
        self.assertEqual((request.prompt_tokens, request.answer_tokens), (1_460, 80))
        self.assertEqual(request.prompt_parts, ("5c1e", "91bd"))
        self.assertEqual(request.shared_parts, ("5c1e",))

    def test_a_part_is_the_same_in_any_case_with_any_tokens_and_spaces(self):
        for value in ("AB1:5,c:1", " ab1 : 9 ,c:1", "ab1,c"):
            request = decode_request(FakeExchange(fuchsiahatch_prompt_prefix=value))
            self.assertEqual(request.shared_parts, ("ab1",), value)

    def test_what_can_not_be_read_of_a_prompt_prefix_is_no_part(self):
        for value in ("", ",", "xyz:1,b:2", ":::", "a" * 65 + ",b", "ä,b", ",,b:2"):
            request = decode_request(FakeExchange(fuchsiahatch_prompt_prefix=value))
            self.assertEqual(request.shared_parts, (), value)
        request = decode_request(FakeExchange(fuchsiahatch_prompt_prefix="z,,a:1,z"))
        self.assertEqual(request.shared_parts, ("a",))

    def test_a_long_prompt_prefix_is_read_up_to_a_limit(self):
        value = ",".join(f"{number:x}:1" for number in range(9_000))
        request = decode_request(FakeExchange(fuchsiahatch_prompt_prefix=value))
        self.assertEqual(len(request.shared_parts), MAX_SHARED_PARTS)

    def test_a_key_of_another_scheme_is_ignored(self):
        self.assertEqual(decode_request(FakeExchange(authorization="Basic x")).key, "")

    def test_a_resumed_stream_continues_after_the_last_event_received(self):
        exchange = FakeExchange(last_event_id="3", x_other="1", connection="close")
        headers = dict(upstream_headers(exchange, "i-1", "t", 0, b"9"))
        self.assertEqual(headers[b"last-event-id"], b"9")
        self.assertEqual(headers[b"x-other"], b"1")
        self.assertEqual(headers[b"fuchsiahatch-deadline-ms"], b"1")
        self.assertNotIn(b"connection", headers)
        headers = dict(upstream_headers(exchange, "i-1", "", 50, None))
        self.assertEqual(headers[b"last-event-id"], b"3")
        self.assertNotIn(b"fuchsiahatch-tenant", headers)

    def test_the_urgency_is_the_load_balancers_and_in_the_range_of_upstreams(self):
        exchange = FakeExchange(fuchsiahatch_request_priority="0")
        for urgency, value in ((None, None), (0, b"0"), (2, b"2"), (12, b"9")):
            headers = upstream_headers(exchange, "i-1", "t", 50, None, urgency)
            name = b"fuchsiahatch-request-priority"
            values = [one for header, one in headers if header == name]
            self.assertEqual(values, [] if value is None else [value])


class TestLookups(unittest.TestCase):
    def test_lookups_and_readiness_checks(self):
        self.assertEqual(lookup_zone(b"/-/resolve?name=x&zone=kl-a"), "kl-a")
        self.assertEqual(lookup_zone(b"/-/resolve"), "")
        self.assertIsNone(lookup_zone(b"/-/ready"))
        self.assertTrue(is_ready_check(b"/-/ready?x=1"))
        self.assertEqual(
            json.loads(encode_lookup(["10.0.0.1:80"], 2)),
            {"addresses": ["10.0.0.1:80"], "ttlS": 2},
        )
