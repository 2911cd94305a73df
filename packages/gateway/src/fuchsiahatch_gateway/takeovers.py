"""Takeovers of an agent: those it makes as a standby, and those it accepts."""

import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_gateway.datagrams import Peer, StandbyNotice, TakeoverNotice
from fuchsiahatch_gateway.leadership import LeaderRecord, takeover_term
from fuchsiahatch_gateway.stall_aware_clock import StallAwareClock
from fuchsiahatch_gateway.standby import Standby

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.upstreams import EngineReport
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.group_leader import GroupLeader
    from fuchsiahatch_gateway.rank_agent import RankAgent

MakeLeader = t.Callable[[StandbyNotice, "EngineReport", int], "GroupLeader"]


class Takeovers:
    """Takes over from a silent leader, and accepts takeovers by other standbys.

    Parameters
    ----------
    rank_agent : RankAgent
    peer : Peer
        Where this agent receives datagrams.
    clock : Clock
    make_leader : callable
        Makes the leader that ends the switch, from the silent leader's notice, an
        engine's report and a term.
    report_state : callable
        Reports this rank's state to its leader at once.

    Attributes
    ----------
    leader : GroupLeader or None
        Ends a silent leader's switch, while this agent has taken over.
    records : dict of str to LeaderRecord
        The last takeover, by group.
    """

    __slots__ = (
        "_active_clock",
        "_clock",
        "_make_leader",
        "_peer",
        "_rank_agent",
        "_report_state",
        "_standby",
        "leader",
        "records",
    )

    def __init__(
        self,
        rank_agent: "RankAgent",
        peer: Peer,
        clock: "Clock",
        make_leader: MakeLeader,
        report_state: t.Callable[[], None],
    ) -> None:
        self._rank_agent = rank_agent
        self._peer = peer
        self._clock = clock
        self._make_leader = make_leader
        self._report_state = report_state
        self._standby = Standby()
        self._active_clock = StallAwareClock(clock.now_ms())
        self.leader: GroupLeader | None = None
        self.records: dict[str, LeaderRecord] = {}

    def note(self, notice: StandbyNotice) -> None:
        """Process a notice of the leader whose standby this agent is."""
        self._standby.note(notice, self._active_clock.active_ms)
        if notice.asks_state:
            self._report_state()

    def accept(self, notice: TakeoverNotice, peer: Peer) -> None:
        """Accept a takeover; passes are held, so report this rank's state at once."""
        report = self._rank_agent.last_report
        if (
            report is None
            or report.group != notice.group
            or notice.term < self._rank_agent.term
        ):
            return
        self.records[notice.group] = LeaderRecord(notice.group, notice.term, peer)
        self._rank_agent.note_term(notice.term)
        self._report_state()

    async def work(self) -> None:
        """Take over if passes are held here and the leader is silent."""
        self._active_clock.update(self._clock.now_ms())
        if self.leader is not None:
            self._continue(self.leader)
            return
        notice = self._standby.notice
        if notice is None or not self._standby.suspects_leader(
            self._active_clock.active_ms
        ):
            return
        try:
            report = await self._rank_agent.read_report()
        except PlatformError as fault:
            log_event(Event.UPSTREAM_SILENT, detail=fault.detail)
            return
        if report.held is not None and self._rank_agent.term == notice.term:
            self._begin(notice, report)
        self._standby.forget()

    def _begin(self, notice: StandbyNotice, report: "EngineReport") -> None:
        term = takeover_term(notice.term)
        log_event(Event.TAKEOVER_BEGUN, group=notice.group, term=term, step=report.held)
        self._rank_agent.note_term(term)
        self.leader = self._make_leader(notice, report, term)
        self.leader.add_peers(notice.peers)
        self.records[notice.group] = LeaderRecord(notice.group, term, self._peer)
        self._report_state()

    def _continue(self, leader: "GroupLeader") -> None:
        leader.work()
        if leader.ended or not leader.may_lead():
            log_event(Event.TAKEOVER_ENDED, phase=leader.switch.phase.value)
            leader.stop()
            self.leader = None
