"""One rank of a group: its state for the leader, and the leader's orders to it."""

import asyncio
import random
import typing as t
import zlib

from msgspec import structs

from fuchsiahatch_adapter.model_engine import Choices, ModelEngine
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_experts.choice_samples import draw_evenly
from fuchsiahatch_experts.map_changes import (
    NO_BASE,
    MapChange,
    apply_change,
    first_map,
)
from fuchsiahatch_experts.rank_orders import Order, OrderKind, OrderResult, RankReport
from fuchsiahatch_gateway.answer_times import AnswerTimes
from fuchsiahatch_gateway.datagrams import OrderRequest, RankState

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.upstreams import EngineReport
    from fuchsiahatch_experts.rank_orders import Placement

#: How often a rank that copies, or is armed, is asked whether it is done, and how often
#: at most. The slowest of all ranks decides when a switch can go on: waiting for the
#: usual report, each 100 ms, cost nearly that much for a copy and as much for an arm.
EFFECT_POLL_MS = 15
EFFECT_POLLS = 60
#: Share of the last copy's time for which the next one is not asked after: copies take
#: much the same time, and each question costs some 1 ms of processor time.
COPY_WAIT_SHARE = 0.75
#: Time over which passes are counted for one figure, and that figure's weight in the
#: running mean.
PASS_WINDOW_MS = 200
PASS_WEIGHT = 0.5
#: Maps that are kept as bases of changes: the one in force, the one that is prepared,
#: and those that were given up in between.
KEPT_MAPS = 4
#: Times that an order is given until there is an answer. With one try, a tenth of the
#: answers lost held passes back for 250 ms in most switches, and every stream of the
#: group was late (measured: half of the worth of six seconds).
ORDER_TRIES = 3


class RankAgent:
    """Reads the upstream on this host and gives it orders.

    Parameters
    ----------
    upstream : ModelEngine
    address : str
        The upstream's, ``ip:port``.

    Attributes
    ----------
    address : str
    seen : EngineReport or None
        The last report.
    term : int
        Highest term seen; orders of an older one are refused.
    pass_ms : float
        Running mean of the time that a pass of the group takes; 0 while it is idle.
    vouched : int
        Newest version that was seen prepared and not committed; 0 otherwise.
    """

    __slots__ = (
        "_agreed",
        "_answers",
        "_choices",
        "_choices_bytes",
        "_copy_s",
        "_experts",
        "_experts_of",
        "_layers",
        "_maps",
        "_sequence",
        "_stepped",
        "_upstream",
        "address",
        "pass_ms",
        "seen",
        "term",
        "vouched",
    )

    def __init__(self, upstream: ModelEngine, address: str) -> None:
        self._upstream = upstream
        self._answers = AnswerTimes()
        self.address = address
        self._sequence = 0
        self._choices: Choices | None = None
        self._experts: tuple[tuple[int, ...], ...] | None = None
        self._experts_of: tuple[int, int] | None = None
        self._layers = 0
        self._choices_bytes = 0
        self.vouched = 0
        self._agreed = 0
        self._copy_s = 0.0
        self._maps: dict[int, Placement] = {}
        self.seen: EngineReport | None = None
        self.term = 0
        self.pass_ms = 0.0
        self._stepped: tuple[int, float] | None = None

    def note_term(self, term: int) -> None:
        """Take no order of an older term from now on."""
        if term > self.term:
            log_event(Event.TERM_SEEN, term=term, before=self.term)
            self.term = term

    async def read_state(self, with_choices: bool = True) -> RankState:
        """Read the upstream's report, and the choices since the last state.

        Raises
        ------
        PlatformError
        """
        seen = await self.read_report()
        choices = b""
        if seen.group:
            await self._read_experts(seen)
            if with_choices:
                choices = await self._read_choices()
        self._sequence += 1
        return RankState(
            seen.group,
            self.address,
            self._sequence,
            self._make_report(seen),
            seen.running,
            seen.pace,
            choices,
        )

    async def begin_choices(self) -> None:
        """Let the next choices that are read count from now.

        Raises
        ------
        PlatformError
        """
        self._choices = await self._upstream.choices()

    async def read_report(self) -> "EngineReport":
        """Read the upstream's report alone.

        Raises
        ------
        PlatformError
        """
        began_ms = _now_ms()
        seen = await self._upstream.report()
        self._answers.note(_now_ms() - began_ms)
        if self.seen is not None and seen.born_ms != self.seen.born_ms:
            self._forget_life()
        self.seen = seen
        self._note_step(seen)
        return seen

    def _make_report(self, seen: "EngineReport") -> RankReport:
        return RankReport(
            rank=seen.rank,
            epoch=seen.epoch,
            term=self.term,
            open=seen.open,
            step=seen.step,
            map_version=seen.map_version,
            prepared=seen.prepared,
            armed=seen.armed,
            held=seen.held,
            experts=self._experts,
            vouched=self.vouched,
        )

    @property
    def choices_bytes(self) -> int:
        """Size of what was last told of this rank's choices."""
        return self._choices_bytes

    @property
    def experts_per_layer(self) -> int:
        """Experts of a layer; 0 before the first choices were read."""
        if self._choices is None or not self._layers:
            return 0
        return len(self._choices.counts) // self._layers

    def _forget_life(self) -> None:
        """Forget what was read of the engine's former life: its counts began anew."""
        self._choices = None
        self._experts = None
        self._experts_of = None
        self._stepped = None
        self.pass_ms = 0.0

    def _note_step(self, seen: "EngineReport") -> None:
        now = asyncio.get_running_loop().time()
        if seen.running == 0 or self._stepped is None or seen.step < self._stepped[0]:
            self.pass_ms = 0.0
            self._stepped = (seen.step, now)
            return
        passes, took_ms = seen.step - self._stepped[0], (now - self._stepped[1]) * 1000
        if not passes:
            # A pass that is under way for longer than usual counts as it grows.
            self.pass_ms = max(self.pass_ms, took_ms)
            return
        if took_ms < PASS_WINDOW_MS:
            return
        recent_ms = took_ms / passes
        known_ms = self.pass_ms or recent_ms
        self.pass_ms = known_ms + PASS_WEIGHT * (recent_ms - known_ms)
        self._stepped = (seen.step, now)

    async def carry_out(self, request: OrderRequest) -> OrderResult | None:
        """Carry an order out; None when it must not be."""
        if request.term < self.term:
            log_event(
                Event.ORDER_REFUSED, term=request.term, seen=self.term, kind="old term"
            )
            return None
        self.note_term(request.term)
        order = request.order
        if request.change is not None:
            placement = self._find_map(request.change)
            order = structs.replace(order, placement=placement)
        return await self.give_order(order)

    def knows_base(self, request: OrderRequest) -> bool:
        """Return whether the map is known that an order's differs from."""
        change = request.change
        return change is None or self._base_of(change) is not None

    def known_map(self, version: int, ranks: int) -> "Placement | None":
        """Return the map of a version, if this agent was told of it."""
        if version == 0 and self.experts_per_layer:
            return first_map(self._layers, self.experts_per_layer, ranks)
        return self._maps.get(version)

    def _base_of(self, change: MapChange) -> "Placement | tuple[()] | None":
        """Return the base of a change, an empty one for a whole map, or None."""
        if change.base == NO_BASE:
            return ()
        return self.known_map(change.base, change.ranks)

    def _find_map(self, change: MapChange) -> "Placement":
        return apply_change(change, self._base_of(change) or None)

    async def give_order(self, order: Order) -> OrderResult:
        """Give an order to the upstream, again where it gives no answer."""
        if order.kind is OrderKind.COMMIT:
            return self._commit(order.version)
        if order.placement is not None:
            self._keep_map(order.version, order.placement)
            if order.version != self._agreed:
                # An order to copy may come again, and behind the commit.
                self.vouched = max(self.vouched, order.version)
        result = OrderResult.UNKNOWN
        for unanswered in range(ORDER_TRIES):
            began_ms = _now_ms()
            wait_ms = self._answers.wait_ms(unanswered)
            result = await _give(self._upstream, order, wait_ms)
            if result is not OrderResult.UNKNOWN:
                if order.kind is not OrderKind.PREPARE:
                    self._answers.note(_now_ms() - began_ms)
                break
        if result is not OrderResult.BEGUN:
            log_event(
                Event.ORDER_REFUSED,
                kind=order.kind.value,
                version=order.version,
                step=order.step,
                epoch=order.epoch,
                result=result.value,
            )
        return result

    def _commit(self, version: int) -> OrderResult:
        """Agree that the last rank is armed, if the switch was seen from its start.

        An agent that has started anew meanwhile may have vouched in its former life
        that it agreed to nothing, and whoever was told so counts on it.
        """
        if self.vouched != version and self._agreed != version:
            return OrderResult.REFUSED
        self.vouched, self._agreed = 0, version
        return OrderResult.BEGUN

    def _keep_map(self, version: int, placement: "Placement") -> None:
        self._maps[version] = placement
        for known in sorted(self._maps)[:-KEPT_MAPS]:
            del self._maps[known]

    async def follow_effect(self, order: Order) -> t.AsyncIterator[RankState]:
        """Yield the rank's state behind an order, and once its effect is complete.

        Raises
        ------
        PlatformError
        """
        state = await self.read_state(with_choices=False)
        yield state
        if order.kind not in (OrderKind.PREPARE, OrderKind.ARM):
            return
        loop = asyncio.get_running_loop()
        began = loop.time()
        if order.kind is OrderKind.PREPARE:
            await asyncio.sleep(COPY_WAIT_SHARE * self._copy_s)
        for _ in range(EFFECT_POLLS):
            if _is_complete(order, state.report):
                return
            await asyncio.sleep(EFFECT_POLL_MS / 1000)
            state = await self.read_state(with_choices=False)
            if _is_complete(order, state.report):
                if order.kind is OrderKind.PREPARE:
                    self._copy_s = loop.time() - began
                yield state

    async def _read_experts(self, seen: "EngineReport") -> None:
        """Read which experts the rank holds, once for each map."""
        wanted = (seen.epoch, seen.map_version)
        if self._experts_of == wanted:
            return
        self._experts = None
        self._experts_of = None
        found = await self._upstream.experts()
        if found.version == seen.map_version:
            self._experts = found.experts
            self._experts_of = wanted
            self._layers = len(found.experts)

    async def _read_choices(self) -> bytes:
        fresh = await self._upstream.choices()
        before, self._choices = self._choices, fresh
        if (
            before is None
            or not self._layers
            or len(before.counts) != len(fresh.counts)
        ):
            return b""
        since = [
            new - old for new, old in zip(fresh.counts, before.counts, strict=True)
        ]
        if min(since) < 0:
            # The upstream has started anew: its counts began at zero.
            return b""
        experts = len(since) // self._layers
        rows = [since[at : at + experts] for at in range(0, len(since), experts)]
        drawn = b"".join(draw_evenly(row, random.random()) for row in rows)
        choices = zlib.compress(drawn, level=1)
        self._choices_bytes = len(choices)
        return choices


def _is_complete(order: Order, report: RankReport) -> bool:
    if order.kind is OrderKind.ARM:
        return report.map_version >= order.version
    return report.prepared >= order.version


async def _give(upstream: ModelEngine, order: Order, wait_ms: int) -> OrderResult:
    if order.kind is OrderKind.PREPARE:
        assert order.placement is not None
        return await upstream.prepare(order.version, order.epoch, order.placement)
    if order.kind is OrderKind.ARM:
        return await upstream.arm(order.version, order.epoch, order.step, wait_ms)
    if order.kind is OrderKind.DISARM:
        return await upstream.disarm(order.version, order.epoch, wait_ms)
    if order.kind is OrderKind.HOLD:
        return await upstream.hold(order.epoch, order.step, wait_ms)
    return await upstream.release(order.epoch, order.step, wait_ms)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000
