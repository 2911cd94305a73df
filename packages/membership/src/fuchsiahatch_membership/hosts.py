"""State of the hosts: entries of the host list joined with the hosts' own reports."""

import dataclasses
import typing as t

from fuchsiahatch_core.defaults import SUSPECT_AFTER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class HostRow:
    """One host of the host list.

    Attributes
    ----------
    host, zone, region, role : str
    rpc_address, http_address : str
        ``ip:port``.
    offers : tuple of str
        ``name@version`` of what its upstream serves.
    leaving : bool
    """

    host: str
    zone: str
    region: str
    role: str
    rpc_address: str
    http_address: str
    offers: tuple[str, ...]
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HostReport:
    """Report of a host's process on its own state.

    Attributes
    ----------
    host, incarnation : str
    leaving : bool
    in_flight, queued, limit : int
        Its load; `limit` is how many requests it runs at once.
    heard_ms : int
        When the report came, on this process's clock.
    stragglers : tuple of str
        Hosts whose rank it has seen straggling.
    clock_ms : int
        Reading of its own clock at the report; returned to it in tickets.
    """

    host: str
    incarnation: str
    leaving: bool
    in_flight: int
    queued: int
    limit: int
    heard_ms: int
    stragglers: tuple[str, ...] = ()
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """A host with its latest report and its liveness."""

    row: HostRow
    report: HostReport | None
    live: bool
    leaving: bool


class HostTable:
    """Joins the lagging host list with the more recent reports of the hosts.

    Parameters
    ----------
    suspect_after_ms : int
        Silence after which a host is considered unreachable.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_reports", "_rows", "_suspect_after_ms")

    def __init__(self, suspect_after_ms: int = SUSPECT_AFTER_MS) -> None:
        self._rows: dict[str, HostRow] = {}
        self._reports: dict[str, HostReport] = {}
        self._suspect_after_ms = suspect_after_ms

    def replace_rows(self, rows: t.Iterable[HostRow]) -> None:
        """Replace the rows with a new reading of the host list."""
        self._rows = {row.host: row for row in rows}
        self._reports = {
            host: report for host, report in self._reports.items() if host in self._rows
        }

    def note_report(self, report: HostReport) -> None:
        """Store the latest report of a host."""
        self._reports[report.host] = report

    def forget_report(self, host: str) -> None:
        """Drop a host's report, as when its connection broke."""
        self._reports.pop(host, None)

    def row(self, host: str) -> HostRow | None:
        """Return the listed host of a name."""
        return self._rows.get(host)

    def rows(self, role: str) -> list[HostRow]:
        """Return the listed hosts of a role, by name."""
        chosen = (row for row in self._rows.values() if row.role == role)
        return sorted(chosen, key=lambda row: row.host)

    def views(
        self, role: str, now_ms: int, suspect_after_ms: int | None = None
    ) -> list[HostView]:
        """Return the hosts of a role with liveness judged at a time."""
        limit_ms = suspect_after_ms or self._suspect_after_ms
        return [self._view(row, now_ms, limit_ms) for row in self.rows(role)]

    def view(self, host: str, now_ms: int) -> HostView | None:
        """Return one host with liveness judged at a time, None when off the list."""
        row = self._rows.get(host)
        if row is None:
            return None
        return self._view(row, now_ms, self._suspect_after_ms)

    def _view(self, row: HostRow, now_ms: int, suspect_after_ms: int) -> HostView:
        report = self._reports.get(row.host)
        if report is None:
            return HostView(row, None, live=False, leaving=row.leaving)
        live = now_ms - report.heard_ms <= suspect_after_ms
        return HostView(row, report, live, row.leaving or report.leaving)
