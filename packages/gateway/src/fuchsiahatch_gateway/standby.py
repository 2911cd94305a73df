"""The standby of a rank group's leader: it ends a switch if the leader fails.

A leader holds passes at its standby's engine. If it falls silent meanwhile, all streams
of the group pause until another leader has won the lease, 1 to 1.5 s later, or until
the leader's host resumes if it was suspended. The standby sees the hold at its local
engine and receives a notice from the leader each 20 ms while a switch is in progress.

The standby needs no lease. Its term is odd, between its leader's and any later one's;
all agents but the silent one must accept that term before it gives an order; and it
starts no switch, so that a late order of it concerns a pass that has ended.
"""

from fuchsiahatch_gateway.datagrams import StandbyNotice

#: Silence of a leader, with passes held, after which its standby takes over. Notices
#: are sent each 20 ms; a leader that is planning or starting may skip some of them.
SILENCE_MS = 120
#: Age above which a notice is ignored: its switch has long ended.
MAX_NOTICE_AGE_MS = 5_000


class Standby:
    """State of an agent that is the standby of its group's leader.

    Attributes
    ----------
    notice : StandbyNotice or None
        The leader's last notice.
    """

    __slots__ = ("_notified_ms", "notice")

    def __init__(self) -> None:
        self.notice: StandbyNotice | None = None
        self._notified_ms = 0

    def note(self, notice: StandbyNotice, now_ms: int) -> None:
        """Store a leader's notice, unless it has an older term than the stored one."""
        if self.notice is None or notice.term >= self.notice.term:
            self.notice = notice
            self._notified_ms = now_ms

    def suspects_leader(self, now_ms: int) -> bool:
        """Return whether the leader has fallen silent after its last notice."""
        if self.notice is None:
            return False
        return SILENCE_MS <= now_ms - self._notified_ms <= MAX_NOTICE_AGE_MS

    def forget(self) -> None:
        """Drop the notice: its switch has ended, or is being ended."""
        self.notice = None
