"""The standby of a rank group's leader: it ends a switch that the leader can't.

A leader holds passes at its standby's engine. If it falls silent then, all streams of
the group stand still until another leader has won the lease, 1 to 1.5 s later, and
where its host stands still, until that wakes. The standby sees the hold at its own
engine and hears the leader each 20 ms while a switch is under way.

It needs no lease: its term is its own, odd, between its leader's and any later one's;
all agents but the silent one must obey it before it gives an order; and it begins no
switch, so that whatever it orders late concerns a pass that is over.
"""

from fuchsiahatch_gateway.datagrams import StandbyNotice

#: Silence of a leader, with passes held, behind which its standby takes over. Notices
#: come each 20 ms; a leader that plans or starts may miss some of them.
SILENCE_MS = 120
#: Age behind which a notice is forgotten: its switch has long ended.
MAX_NOTICE_AGE_MS = 5_000


class Standby:
    """What an agent knows as standby of its group's leader.

    Attributes
    ----------
    notice : StandbyNotice or None
        The leader's last word.
    """

    __slots__ = ("_notified_ms", "notice")

    def __init__(self) -> None:
        self.notice: StandbyNotice | None = None
        self._notified_ms = 0

    def note(self, notice: StandbyNotice, now_ms: int) -> None:
        """Take in a leader's word, unless a later leader's was heard."""
        if self.notice is None or notice.term >= self.notice.term:
            self.notice = notice
            self._notified_ms = now_ms

    def suspects_leader(self, now_ms: int) -> bool:
        """Return whether the leader has fallen silent behind its last word."""
        if self.notice is None:
            return False
        return SILENCE_MS <= now_ms - self._notified_ms <= MAX_NOTICE_AGE_MS

    def forget(self) -> None:
        """Forget the notice: its switch has ended, or is being ended."""
        self.notice = None
