"""What an agent tells of its engine, and how often: its load, its experts' choices."""

import typing as t

from fuchsiahatch_gateway.datagrams import DatagramPort, LoadReport, encode

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.lookups import EntryRecord
    from fuchsiahatch_gateway.rank_agent import RankAgent

#: Share of the leader's link that all ranks' choices may take together. At 63 ranks of
#: 2 KB each 100 ms they were three times what a link of 4 Mbit/s carries; nothing that
#: renews the lease got through.
CHOICES_LINK_SHARE = 0.15
#: Pause between two reports of the load, for each entry: 360 ms with 40 of them, where
#: 63 agents send 7,000 a second instead of 25,200. With 11 or fewer each report goes.
LOAD_PAUSE_MS_PER_ENTRY = 9


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

    __slots__ = ("_choices_ms", "_clock", "_datagrams", "_link", "_load_ms", "_rank")

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
        if now_ms - self._load_ms < LOAD_PAUSE_MS_PER_ENTRY * len(entries):
            return
        if seen is None:
            return
        self._load_ms = now_ms
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
