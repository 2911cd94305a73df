"""What an agent tells of its engine, and how often: its load, its experts' choices."""

import typing as t

from fuchsiahatch_gateway.datagrams import DatagramPort, LoadReport, encode

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.lookups import EntryRecord
    from fuchsiahatch_gateway.rank_agent import RankAgent

#: Share of the leader's link that all ranks' choices may take together. At 63 ranks of
#: 2 KB each 100 ms they were three times what a link of 4 Mbit/s carries; nothing that
#: renews the lease got through. Orders may take half of the link besides. At 32 ranks
#: of 1.1 KB a rank tells of its choices each 200 ms; with a share of 0.15, each 470 ms,
#: changes of map followed one another in 0.6 s behind a shift of demand, not in 0.44.
CHOICES_LINK_SHARE = 0.35
#: Pause between two reports of the load, for each entry: 360 ms with 40 of them, where
#: 63 agents send 7,000 a second instead of 25,200. With 11 or fewer each report goes.
LOAD_PAUSE_MS_PER_ENTRY = 9
#: Places left below which a change of the load is told without that pause: only there
#: does an old belief send requests into a queue. Of 160 streams a second on 64 engines
#: of 5 places 0.023 waited 250 ms and more for a place, with 4.4 reports a second of an
#: engine, as with 10 (0.025); 0.087 with 3.4 behind the pause alone (played, 33
#: entries, two seeds).
NEARLY_FULL_PLACES = 1


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
        "_choices_ms",
        "_clock",
        "_datagrams",
        "_link",
        "_load_ms",
        "_most_running",
        "_rank",
        "_told_load",
        "_told_open",
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
        self._load_ms = 0
        self._told_load = 0
        self._told_open = False
        #: Most requests that ran at once: the engine's places, as far as was seen.
        self._most_running = 0

    def owes_choices(self) -> bool:
        """Return whether the leader is due to hear of this rank's choices."""
        seen, pause_ms = self._rank.seen, 0.0
        if seen is not None:
            bytes_per_ms = CHOICES_LINK_SHARE * self._link / 1000
            pause_ms = seen.ranks * self._rank.choices_bytes / bytes_per_ms
        now_ms = self._clock.now_ms()
        if now_ms - self._choices_ms < pause_ms:
            return False
        self._choices_ms = now_ms
        return True

    def send_load(self, entries: t.Collection["EntryRecord"]) -> None:
        """Tell the entries of the engine's load, if they are due to hear of it."""
        seen, now_ms = self._rank.seen, self._clock.now_ms()
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
        data = encode(load)
        for entry in entries:
            self._datagrams.send_encoded(data, entry.peer)

    def _matters(self, load: int) -> bool:
        """Return whether a load differs from what was told, near the last place."""
        nearly_full = self._most_running - NEARLY_FULL_PLACES
        return load != self._told_load and max(load, self._told_load) >= nearly_full
