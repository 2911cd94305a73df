"""What an agent reports of its engine, and how often: load and expert choices."""

import enum
import typing as t

from msgspec import structs

from fuchsiahatch_gateway.datagrams import (
    DatagramPort,
    LoadReport,
    Peer,
    RankState,
    encode,
)
from fuchsiahatch_gateway.defaults import REPORT_INTERVAL_MS

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.upstreams import EngineReport
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.rank_agent import RankAgent

#: Share of the leader's link for the choices of all ranks together; orders may take
#: half of the link besides. Without a limit, 63 ranks sending 2 KB each 100 ms exceed a
#: link of 4 Mbit/s three times over, and renewals of the lease don't get through. With
#: this share, 32 ranks of 1.1 KB report each 200 ms and map changes follow one another
#: in 0.44 s after a shift of demand; with 0.15, each 470 ms and in 0.6 s.
CHOICES_LINK_SHARE = 0.35
#: Time over which choices are counted if a rank reports them rarely. A rank of 96
#: reports each 1.8 s. Counted since the last report, the choices would be 0.9 s old on
#: average, while demand shifts every three seconds.
CHOICES_WINDOW_MS = 200
#: States with the experts that a rank holds, after a change of its map or leader: one
#: or two may be lost. Experts are two fifths of a state's 126 bytes, and the leader of
#: 96 ranks receives 960 states a second.
INITIAL_FULL_STATES = 3
#: One state in this many includes them anyway: one each second.
FULL_STATE_PERIOD = 10
#: Interval between two load reports, per entry. With 40 entries it is 360 ms, and 63
#: agents send 7,000 reports a second instead of 25,200. With 11 or fewer entries every
#: report is sent.
LOAD_INTERVAL_MS_PER_ENTRY = 9
#: Free slots up to which a change of the load is reported without that interval: only
#: near the limit does a stale load send requests into a queue. In simulation (33
#: entries, 64 engines of 5 slots, 160 streams a second, two seeds) 0.023 of the streams
#: wait 250 ms or more for a slot, at 4.4 reports a second per engine; 0.025 at 10
#: reports a second; 0.087 by the interval alone, at 3.4.
NEARLY_FULL_PLACES = 1


class ChoicesAction(enum.Enum):
    """What to do about a rank's choices with its next report.

    Attributes
    ----------
    REST
        Nothing.
    BEGIN
        Restart the count: earlier choices aren't sent.
    TELL
        Send the choices counted since it began, or since they were last sent.
    """

    REST = "rest"
    BEGIN = "begin"
    TELL = "tell"


class Reporter:
    """Reports an engine's load to entries and decides what its leader is sent.

    Parameters
    ----------
    rank_agent : RankAgent
    datagrams : DatagramPort
    clock : Clock
    link_bytes_per_s : float
        Bandwidth of this agent's host; its leader's is taken to be the same.
    """

    __slots__ = (
        "_choices_sent_ms",
        "_clock",
        "_counting_choices",
        "_datagrams",
        "_link_bytes_per_s",
        "_load_sent_ms",
        "_max_running",
        "_rank_agent",
        "_reported_load",
        "_reported_map",
        "_reported_open",
        "_states_sent",
    )

    def __init__(
        self,
        rank_agent: "RankAgent",
        datagrams: DatagramPort,
        clock: "Clock",
        link_bytes_per_s: float,
    ) -> None:
        self._rank_agent = rank_agent
        self._datagrams = datagrams
        self._clock = clock
        self._link_bytes_per_s = link_bytes_per_s
        self._choices_sent_ms = 0
        self._counting_choices = False
        self._reported_map: tuple[int, int, int] | None = None
        self._states_sent = 0
        self._load_sent_ms = 0
        self._reported_load = 0
        self._reported_open = False
        #: Most requests seen running at once, as an estimate of the engine's slots.
        self._max_running = 0

    def choices_action(self) -> ChoicesAction:
        """Return what to do about this rank's choices now.

        If they are sent rarely, they are counted only shortly before.
        """
        interval_ms = self._choices_interval_ms
        now_ms = self._clock.now_ms()
        since_ms = now_ms - self._choices_sent_ms
        if since_ms >= interval_ms:
            self._choices_sent_ms = now_ms
            self._counting_choices = False
            return ChoicesAction.TELL
        counts_all = interval_ms < CHOICES_WINDOW_MS + REPORT_INTERVAL_MS
        if (
            self._counting_choices
            or counts_all
            or since_ms < interval_ms - CHOICES_WINDOW_MS
        ):
            return ChoicesAction.REST
        self._counting_choices = True
        return ChoicesAction.BEGIN

    @property
    def _choices_interval_ms(self) -> float:
        report = self._rank_agent.last_report
        if report is None:
            return 0.0
        bytes_per_ms = CHOICES_LINK_SHARE * self._link_bytes_per_s / 1000
        return report.ranks * self._rank_agent.choices_bytes / bytes_per_ms

    def trim(self, state: RankState, leader_term: int) -> RankState:
        """Leave out the experts if the leader of a term has received them already."""
        report = state.report
        map_key = (leader_term, report.epoch, report.map_version)
        if map_key != self._reported_map:
            self._reported_map, self._states_sent = map_key, 0
        if report.experts is None:
            return state
        self._states_sent += 1
        times = self._states_sent
        if times <= INITIAL_FULL_STATES or times % FULL_STATE_PERIOD == 0:
            return state
        return structs.replace(state, report=structs.replace(report, experts=None))

    def send_load(self, entries: t.Collection[Peer]) -> None:
        """Report the engine's load to the entries, if a report is due."""
        report, now_ms = self._rank_agent.last_report, self._clock.now_ms()
        if report is None:
            return
        self._max_running = max(self._max_running, report.running)
        interval_ms = LOAD_INTERVAL_MS_PER_ENTRY * len(entries)
        due = now_ms - self._load_sent_ms >= interval_ms
        open_changed = report.open is not self._reported_open
        if (
            not due
            and not open_changed
            and not self._is_significant(report.queued + report.running)
        ):
            return
        self._load_sent_ms = now_ms
        self._reported_load = report.queued + report.running
        self._reported_open = report.open
        data = self._encode_load(report)
        for peer in entries:
            self._datagrams.send_encoded(data, peer)

    def send_load_to(self, entry: Peer) -> None:
        """Report the engine's load to one entry that has asked for it."""
        if self._rank_agent.last_report is not None:
            self._datagrams.send_encoded(
                self._encode_load(self._rank_agent.last_report), entry
            )

    def _encode_load(self, report: "EngineReport") -> bytes:
        load = LoadReport(
            self._rank_agent.address,
            report.queued,
            report.running,
            report.pace,
            report.open,
            report.group,
            round(self._rank_agent.pass_ms, 1),
            report.born_ms,
        )
        return encode(load)

    def _is_significant(self, load: int) -> bool:
        """Return whether a load near the limit differs from the one last reported."""
        nearly_full = self._max_running - NEARLY_FULL_PLACES
        return (
            load != self._reported_load
            and max(load, self._reported_load) >= nearly_full
        )
