"""A group's leader in virtual time, with the processor time of its work."""

import asyncio
import heapq
import types
import zlib

import numpy as np

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_experts.map_changes import first_map
from fuchsiahatch_experts.rank_orders import RankReport
from fuchsiahatch_gateway.datagrams import RankState
from fuchsiahatch_gateway.group_leader import Authority, GroupLeader
from fuchsiahatch_gateway.rank_agent import RankAgent

TERM = 2
#: Interval between the states that an agent sends.
STATE_INTERVAL_MS = 100
#: Interval between calls of a leader's `work` if it receives nothing.
WORK_INTERVAL_MS = 20
#: Latency of a datagram.
LATENCY_MS = 2
#: Datagrams that the event loop reads in one iteration.
MAX_READS_PER_TURN = 128
#: Steps of a search for a plan; more than a leader makes in one iteration.
PLAN_STEPS = 100
#: Share of a core available to the leader's host.
CORE_SHARE = 0.645


class RecordingPort:
    """Records what the leader sends."""

    def __init__(self):
        self.sent = []

    def send(self, message, peer):
        self.sent.append((message, peer))

    def send_encoded(self, data, peer):
        self.sent.append((data, peer))


class LedGroup:
    """One leader, and the agents of all other ranks.

    Parameters
    ----------
    ranks, layers, experts, places : int
    state_ms, plan_ms : float
        Processor time of a state and of a plan on a whole core.

    Attributes
    ----------
    silent : set of int
        Ranks whose agents send nothing.
    asked : list of str
        Engines that the leader called itself.
    is_sole_leader : bool
        Whether no earlier leader can still believe that it leads.
    refuses_calls : bool
        Whether engines refuse calls at once; otherwise they never answer.
    """

    def __init__(self, ranks, layers, experts, places, state_ms=0.0, plan_ms=0.0):
        self.clock = ManualClock(1_000)
        self.ranks = ranks
        self.state_ms, self.plan_ms = state_ms / CORE_SHARE, plan_ms / CORE_SHARE
        self.layers, self.experts = layers, experts
        self.placement = first_map(layers, experts, ranks)
        self.asked = []
        self.silent = set()
        self.refuses_calls = False
        self.is_sole_leader = True
        self.planned_ms = 0.0
        self._unspent_ms = 0.0
        self._sequence = 0
        self.port = RecordingPort()
        local_agent = RankAgent(types.SimpleNamespace(), "10.0.0.0:80")
        local_agent.note_term(TERM)
        local_agent._layers = layers
        local_agent.pass_ms = 100.0
        self.leader = GroupLeader(
            "g",
            TERM,
            0,
            ranks,
            local_agent,
            ("10.0.0.0", 1),
            self.port,
            self.clock,
            self._connect_engine,
            self._list_engines,
            Authority(
                holds_lease=lambda: True,
                is_sole_leader=lambda: self.is_sole_leader,
                store_unreachable=lambda: False,
            ),
            link_bytes_per_s=500_000.0,
        )
        self.leader.plans.gap_ms = 150
        self.leader.plans.engine = types.SimpleNamespace(
            expert_layers=layers,
            experts=experts,
            expert_places=places,
            spare_places=1,
            expert_share=0.85,
            copy_ms=50.0,
        )

    def _connect_engine(self, address):
        self.asked.append(address)
        return types.SimpleNamespace(report=self._fail_report)

    async def _fail_report(self):
        if self.refuses_calls:
            raise PlatformError("refused")
        await asyncio.sleep(3_600)

    async def _list_engines(self):
        return []

    def spend(self, cost_ms):
        """Advance the clock by the cost of a piece of work."""
        self._unspent_ms += cost_ms
        whole_ms = int(self._unspent_ms)
        self._unspent_ms -= whole_ms
        self.clock.advance(whole_ms)

    def plan(self, *_args, **_options):
        """Replace a search for a plan by one that finds no map worth its copies."""
        self.planned_ms += self.plan_ms
        for _ in range(PLAN_STEPS):
            self.spend(self.plan_ms / PLAN_STEPS)
            yield

    def state(self, rank):
        """Return the state that a rank's agent sends now; the demand never changes."""
        self._sequence += 1
        now_ms = self.clock.now_ms()
        counts = np.full((self.layers, self.experts), 40, dtype=np.uint8)
        counts[:, :: self.ranks] = 120
        held = tuple(layer[rank] for layer in self.placement)
        report = RankReport(rank, 1, TERM, True, now_ms // 100, 0, 0, None, None, held)
        return RankState(
            "g",
            f"10.0.0.{rank}:80",
            self._sequence,
            report,
            3,
            1.0,
            zlib.compress(counts.tobytes(), 1),
        )

    async def run(self, for_ms, stall=None):
        """Let all agents send states for a time; the leader's loop may stall once.

        Parameters
        ----------
        for_ms : int
        stall : (int, int), optional
            When it begins, after the start, and for how long.
        """
        began_ms = self.clock.now_ms()
        waiting = [
            (began_ms + STATE_INTERVAL_MS * rank // self.ranks, rank)
            for rank in range(self.ranks)
        ]
        heapq.heapify(waiting)
        while self.clock.now_ms() - began_ms < for_ms:
            woke_ms = self.clock.now_ms()
            if stall is not None and woke_ms - began_ms >= stall[0]:
                self.clock.advance(stall[1])
                stall = None
            for _ in range(MAX_READS_PER_TURN):
                if waiting[0][0] + LATENCY_MS > self.clock.now_ms():
                    break
                sent_ms, rank = heapq.heappop(waiting)
                heapq.heappush(waiting, (sent_ms + STATE_INTERVAL_MS, rank))
                if rank in self.silent:
                    continue
                self.leader.receive_state(self.state(rank), (f"10.0.0.{rank}", 1))
                self.spend(self.state_ms)
            # Run the work that the leader scheduled for after all waiting datagrams.
            await asyncio.sleep(0)
            self.leader.work()
            await asyncio.sleep(0)
            rest_ms = max(woke_ms + WORK_INTERVAL_MS - self.clock.now_ms(), 0)
            next_ms = waiting[0][0] + LATENCY_MS - self.clock.now_ms()
            self.clock.advance(max(min(rest_ms, next_ms), 1))
