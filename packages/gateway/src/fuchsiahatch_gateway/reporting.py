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
FRESH_MS = 200
#: States in which a rank tells which experts it holds, behind a change of its map or of
#: its leader: one or two may be lost. They are two fifths of a state's 126 bytes, and
#: the leader of 96 ranks takes in 960 states a second.
FULL_STATES = 3
#: One state in so many tells of it anyway: each second.
FULL_STATE_EVERY = 10
#: Pause between two reports of the load, for each entry: 360 ms with 40 of them, where
#: 63 agents send 7,000 a second instead of 25,200. With 11 or fewer each report goes.
LOAD_PAUSE_MS_PER_ENTRY = 9
#: Places left below which a change of the load is told without that pause: only there
#: does an old belief send requests into a queue. Of 160 streams a second on 64 engines
#: of 5 places 0.023 waited 250 ms and more for a place, with 4.4 reports a second of an
#: engine, as with 10 (0.025); 0.087 with 3.4 behind the pause alone (played, 33
#: entries, two seeds).
NEARLY_FULL_PLACES = 1


class ChoicesTurn(enum.Enum):
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
        "_began",
        "_choices_ms",
        "_clock",
        "_datagrams",
        "_link",
        "_load_ms",
        "_most_running",
        "_rank",
        "_told_load",
        "_told_map",
        "_told_open",
        "_told_times",
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
        self._link = link_bytes_per_s
        self._choices_ms = 0
        self._began = False
        self._told_map: tuple[int, int, int] | None = None
        self._told_times = 0
        self._load_ms = 0
        self._told_load = 0
        self._told_open = False
        #: Most requests that ran at once: the engine's places, as far as was seen.
        self._most_running = 0

    def choices_turn(self) -> ChoicesTurn:
        """Return whether to tell the leader of this rank's choices now.

        Where that is due seldom, they are counted from shortly before it.
        """
        pause_ms = self._choices_pause_ms
        now_ms = self._clock.now_ms()
        since_ms = now_ms - self._choices_ms
        if since_ms >= pause_ms:
            self._choices_ms = now_ms
            self._began = False
            return ChoicesTurn.TELL
        counts_all = pause_ms < FRESH_MS + REPORT_MS
        if self._began or counts_all or since_ms < pause_ms - FRESH_MS:
            return ChoicesTurn.REST
        self._began = True
        return ChoicesTurn.BEGIN

    @property
    def _choices_pause_ms(self) -> float:
        seen = self._rank.last_report
        if seen is None:
            return 0.0
        bytes_per_ms = CHOICES_LINK_SHARE * self._link / 1000
        return seen.ranks * self._rank.choices_bytes / bytes_per_ms

    def trim(self, state: RankState, leader_term: int) -> RankState:
        """Leave out what the leader of a term has been told of a rank already."""
        report = state.report
        told = (leader_term, report.epoch, report.map_version)
        if told != self._told_map:
            self._told_map, self._told_times = told, 0
        if report.experts is None:
            return state
        self._told_times += 1
        times = self._told_times
        if times <= FULL_STATES or times % FULL_STATE_EVERY == 0:
            return state
        return structs.replace(state, report=structs.replace(report, experts=None))

    def send_load(self, entries: t.Collection[Peer]) -> None:
        """Tell the entries of the engine's load, if they are due to hear of it."""
        seen, now_ms = self._rank.last_report, self._clock.now_ms()
        if seen is None:
            return
        self._most_running = max(self._most_running, seen.running)
        pause_ms = LOAD_PAUSE_MS_PER_ENTRY * len(entries)
        due = now_ms - self._load_ms >= pause_ms
        turned = seen.open is not self._told_open
        if not due and not turned and not self._matters(seen.queued + seen.running):
            return
        self._load_ms = now_ms
        self._told_load = seen.queued + seen.running
        self._told_open = seen.open
        data = self._encode_load(seen)
        for peer in entries:
            self._datagrams.send_encoded(data, peer)

    def answer(self, entry: Peer) -> None:
        """Tell an entry that has asked of the engine's load."""
        if self._rank.last_report is not None:
            self._datagrams.send_encoded(
                self._encode_load(self._rank.last_report), entry
            )

    def _encode_load(self, seen: "EngineReport") -> bytes:
        load = LoadReport(
            self._rank.address,
            seen.queued,
            seen.running,
            seen.pace,
            seen.open,
            seen.group,
            round(self._rank.pass_ms, 1),
            seen.born_ms,
        )
        return encode(load)

    def _matters(self, load: int) -> bool:
        """Return whether a load differs from what was told, near the last place."""
        nearly_full = self._most_running - NEARLY_FULL_PLACES
        return load != self._told_load and max(load, self._told_load) >= nearly_full
