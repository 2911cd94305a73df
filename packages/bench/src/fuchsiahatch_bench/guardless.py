"""Step-grant state machines with one guard taken out each, for the search.

What is left must let the search find a step that ran under two maps; else the
guard does nothing, or the search does not look where it matters.
"""

import dataclasses
import typing as t

from fuchsiahatch_bench.grant_model import Parts
from fuchsiahatch_experts.grants import EngineState, LeaderEffect, Window
from fuchsiahatch_experts.leaders import Leader, Phase
from fuchsiahatch_experts.ranks import Rank

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.grants import Commit, Propose


class RankOfAnyLife(Rank):
    """A rank that takes messages meant for its agent's earlier life."""

    __slots__ = ()

    def _is_for_this_incarnation(self, request: "Propose | Commit") -> bool:
        return True


class ForgetfulRank(Rank):
    """A rank that knows no window but those that this life of it granted."""

    __slots__ = ()

    def _last_engine_state(self) -> EngineState:
        engine = super()._last_engine_state()
        granted = engine.granted
        own = self.accepted is not None and self.accepted.window == granted
        if own or granted is None:
            return engine
        run = Window(engine.step, engine.step, granted.map_version)
        return dataclasses.replace(engine, granted=run)


class LeaderThatPlansAgain(Leader):
    """A leader that goes on in its term when a life changes in a round."""

    __slots__ = ()

    def _rank_restarted(self, rank: int) -> list[LeaderEffect]:
        del self.rank_states[rank]
        self.phase = Phase.ASKING
        return self.tick()


#: Parts with all guards in, by the kind of engine.
WHOLE = {
    "engines that check": Parts(),
    "engines that ignore fencing": Parts(engine_fences=False),
}
#: Parts with one guard out, by the guard.
GUARDLESS = {
    "messages name the life": Parts(make_rank=RankOfAnyLife, engine_fences=False),
    "the engine's window is told": Parts(make_rank=ForgetfulRank),
    "a term proposes a window once": Parts(make_leader=LeaderThatPlansAgain),
    "the agent lets orders settle": Parts(engine_fences=False, agent_settles=False),
}
