"""What choosing an upstream costs against how many upstreams an entry knows."""

import time
import types

from fuchsiahatch_bench.fits import Line, fit_line
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.identities import Offer
from fuchsiahatch_daemon.selection import Selection
from fuchsiahatch_membership.hosts import HostReport, HostRow, HostTable
from fuchsiahatch_placement.records import Place, Placement, Snapshot
from fuchsiahatch_routing.candidates import Target

UPSTREAMS = (5, 20, 80, 320)
_CHOICES = 200
_ROUNDS = 3
_NS_PER_MS = 1_000_000
_OFFER = Offer("booking-assistant", "2")


def measure_selection() -> dict[str, Line]:
    """Return milliseconds a choice against the number of upstreams known."""
    points = [
        (upstreams, _choice_ms(upstreams))
        for upstreams in UPSTREAMS
        for _ in range(_ROUNDS)
    ]
    return {"choice_ms": fit_line(points)}


def _choice_ms(upstreams: int) -> float:
    selection = _selection(upstreams)
    before = time.process_time_ns()
    for _ in range(_CHOICES):
        selection.select("team", Target(_OFFER.name), b"prefix", frozenset())
    return (time.process_time_ns() - before) / _NS_PER_MS / _CHOICES


def _selection(upstreams: int) -> Selection:
    clock = Clock()
    table = HostTable()
    hosts = [f"agent-{number}" for number in range(upstreams)]
    table.replace_rows(map(_row, hosts))
    for host in hosts:
        table.note_report(HostReport(host, "1", False, 1, 0, 32, clock.now_ms()))
    place = Place("kl-a", frozenset([_OFFER]), 50.0)
    snapshot = Snapshot(1, {"team": Placement("team", {"kl-a": place})})
    configuration = types.SimpleNamespace(snapshot=snapshot)
    return Selection(configuration, types.SimpleNamespace(table=table), clock)


def _row(host: str) -> HostRow:
    address = "127.0.0.1:1"
    offers = (f"{_OFFER.name}@{_OFFER.version}",)
    return HostRow(host, "kl-a", "region", "agent", address, address, offers, False)
