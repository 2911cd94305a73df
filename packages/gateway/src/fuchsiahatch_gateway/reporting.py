"""What an agent tells of its engine, and how often: its load, its experts' choices."""

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
from fuchsiahatch_gateway.defaults import REPORT_MS

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.upstreams import EngineReport
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.rank_agent import RankAgent

#: Share of the leader's link that all ranks' choices may take together. At 63 ranks of
#: 2 KB each 100 ms they were three times what a link of 4 Mbit/s carries; nothing that
#: renews the lease got through. Orders may take half of the link besides. At 32 ranks
#: of 1.1 KB a rank told of its choices each 200 ms; with a share of 0.15, each 470 ms,
#: changes of map followed one another in 0.6 s behind a shift of demand, not in 0.44.
CHOICES_LINK_SHARE = 0.35
#: Time over which choices are counted where a rank tells of them seldom. A rank of 96
#: told each 1.8 s what had been chosen since it last did: maps were made for a demand
#: that was 0.9 s old in the mean, and demand moves each three seconds.
CHOICES_WINDOW_MS = 200
#: States in which a rank tells which experts it holds, behind a change of its map or of
#: its leader: one or two may be lost. They are two fifths of a state's 126 bytes, and
#: the leader of 96 ranks takes in 960 states a second.
INITIAL_FULL_STATES = 3
#: One state in so many tells of it anyway: each second.
FULL_STATE_PERIOD = 10
#: Pause between two reports of the load, for each entry: 360 ms with 40 of them, where
#: 63 agents send 7,000 a second instead of 25,200. With 11 or fewer each report goes.
LOAD_INTERVAL_MS_PER_ENTRY = 9
#: Places left below which a change of the load is told without that pause: only there
#: does an old belief send requests into a queue. Of 160 streams a second on 64 engines
#: of 5 places 0.023 waited 250 ms and more for a place, with 4.4 reports a second of an
#: engine, as with 10 (0.025); 0.087 with 3.4 behind the pause alone (played, 33
#: entries, two seeds).
NEARLY_FULL_PLACES = 1


class ChoicesAction(enum.Enum):
    """What to do about a rank's choices with its next report."""

    REST = "rest"
    BEGIN = "begin"
    TELL = "tell"


class Reporter:
    """Tells entries of an engine's load, and when its leader is due to hear more.

    Parameters
    ----------
    rank : RankAgent
    datagrams : DatagramPort
    clock : Clock
    link_bytes_per_s : float
        Of an agent's host, and so of its leader's.
    """

    __slots__ = (
        "_choices_sent_ms",
        "_clock",
        "_counting_choices",
        "_datagrams",
        "_link_bytes_per_s",
        "_load_sent_ms",
        "_max_running",
        "_rank",
        "_reported_load",
        "_reported_map",
        "_reported_open",
        "_states_sent",
    )

    def __init__(
        self,
        rank: "RankAgent",
        datagrams: DatagramPort,
        clock: "Clock",
        link_bytes_per_s: float,
    ) -> None:
        self._rank = rank
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
        #: Most requests that ran at once: the engine's places, as far as was seen.
        self._max_running = 0

    def choices_action(self) -> ChoicesAction:
        """Return whether to tell the leader of this rank's choices now.

        Where that is due seldom, they are counted from shortly before it.
        """
        interval_ms = self._choices_interval_ms
        now_ms = self._clock.now_ms()
        since_ms = now_ms - self._choices_sent_ms
        if since_ms >= interval_ms:
            self._choices_sent_ms = now_ms
            self._counting_choices = False
            return ChoicesAction.TELL
        counts_all = interval_ms < CHOICES_WINDOW_MS + REPORT_MS
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
        report = self._rank.last_report
        if report is None:
            return 0.0
        bytes_per_ms = CHOICES_LINK_SHARE * self._link_bytes_per_s / 1000
        return report.ranks * self._rank.choices_bytes / bytes_per_ms

    def trim(self, state: RankState, leader_term: int) -> RankState:
        """Leave out what the leader of a term has been told of a rank already."""
        report = state.report
        told = (leader_term, report.epoch, report.map_version)
        if told != self._reported_map:
            self._reported_map, self._states_sent = told, 0
        if report.experts is None:
            return state
        self._states_sent += 1
        times = self._states_sent
        if times <= INITIAL_FULL_STATES or times % FULL_STATE_PERIOD == 0:
            return state
        return structs.replace(state, report=structs.replace(report, experts=None))

    def send_load(self, entries: t.Collection[Peer]) -> None:
        """Tell the entries of the engine's load, if they are due to hear of it."""
        report, now_ms = self._rank.last_report, self._clock.now_ms()
        if report is None:
            return
        self._max_running = max(self._max_running, report.running)
        interval_ms = LOAD_INTERVAL_MS_PER_ENTRY * len(entries)
        due = now_ms - self._load_sent_ms >= interval_ms
        turned = report.open is not self._reported_open
        if (
            not due
            and not turned
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
        """Tell an entry that has asked of the engine's load."""
        if self._rank.last_report is not None:
            self._datagrams.send_encoded(
                self._encode_load(self._rank.last_report), entry
            )

    def _encode_load(self, report: "EngineReport") -> bytes:
        load = LoadReport(
            self._rank.address,
            report.queued,
            report.running,
            report.pace,
            report.open,
            report.group,
            round(self._rank.pass_ms, 1),
            report.born_ms,
        )
        return encode(load)

    def _is_significant(self, load: int) -> bool:
        """Return whether a load differs from what was told, near the last place."""
        nearly_full = self._max_running - NEARLY_FULL_PLACES
        return (
            load != self._reported_load
            and max(load, self._reported_load) >= nearly_full
        )
