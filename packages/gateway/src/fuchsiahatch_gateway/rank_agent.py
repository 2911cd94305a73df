"""One rank of a group: reports its state and applies orders to its engine."""

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

#: Interval and limit of polls of a rank that is copying or armed. The slowest rank
#: decides when a switch can proceed: waiting for the regular report, each 100 ms,
#: delays a switch by nearly that much for the copy and as much for the arming.
EFFECT_POLL_INTERVAL_MS = 15
MAX_EFFECT_POLLS = 60
#: Share of the last copy's duration after which the next copy is polled: copies take
#: about the same time, and each poll costs some 1 ms of processor time.
COPY_WAIT_SHARE = 0.75
#: Time over which passes are counted for one sample of the pass time, and the weight of
#: a sample in the moving mean.
PASS_WINDOW_MS = 200
PASS_WEIGHT = 0.5
#: Maps kept as bases of changes: the one in force, the one being prepared, and those
#: abandoned in between.
MAX_KEPT_MAPS = 4
#: Attempts of an order until it is answered. With one attempt and a tenth of the
#: answers lost, most switches hold passes for 250 ms and every stream of the group is
#: late, which halves the value of its answers for six seconds.
MAX_ORDER_ATTEMPTS = 3


class RankAgent:
    """Reads the upstream on this host and applies orders to it.

    Parameters
    ----------
    upstream : ModelEngine
    address : str
        Address of the upstream, ``ip:port``.

    Attributes
    ----------
    address : str
    last_report : EngineReport or None
    term : int
        Highest term seen; orders of an older one are refused.
    pass_ms : float
        Moving mean of the time of the group's passes; 0 while it is idle.
    uncommitted_version : int
        Newest version that this agent has prepared and not committed; 0 if none.
    """

    __slots__ = (
        "_answer_times",
        "_choices",
        "_choices_bytes",
        "_committed_version",
        "_experts",
        "_experts_key",
        "_last_copy_s",
        "_layers",
        "_maps",
        "_sequence",
        "_step_sample",
        "_upstream",
        "address",
        "last_report",
        "pass_ms",
        "term",
        "uncommitted_version",
    )

    def __init__(self, upstream: ModelEngine, address: str) -> None:
        self._upstream = upstream
        self._answer_times = AnswerTimes()
        self.address = address
        self._sequence = 0
        self._choices: Choices | None = None
        self._experts: tuple[tuple[int, ...], ...] | None = None
        self._experts_key: tuple[int, int] | None = None
        self._layers = 0
        self._choices_bytes = 0
        self.uncommitted_version = 0
        self._committed_version = 0
        self._last_copy_s = 0.0
        self._maps: dict[int, Placement] = {}
        self.last_report: EngineReport | None = None
        self.term = 0
        self.pass_ms = 0.0
        self._step_sample: tuple[int, float] | None = None

    def note_term(self, term: int) -> None:
        """Refuse orders of terms older than this one from now on."""
        if term > self.term:
            log_event(Event.TERM_SEEN, term=term, before=self.term)
            self.term = term

    async def read_state(self, with_choices: bool = True) -> RankState:
        """Read the upstream's report, and the choices since they were last read.

        Raises
        ------
        PlatformError
        """
        report = await self.read_report()
        choices = b""
        if report.group:
            await self._read_experts(report)
            if with_choices:
                choices = await self._read_choices()
        self._sequence += 1
        return RankState(
            report.group,
            self.address,
            self._sequence,
            self._make_report(report),
            report.running,
            report.pace,
            choices,
        )

    async def reset_choices(self) -> None:
        """Restart the count of choices: the next ones read are those made after this.

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
        report = await self._upstream.report()
        self._answer_times.note(_now_ms() - began_ms)
        if self.last_report is not None and report.born_ms != self.last_report.born_ms:
            self._clear_engine_state()
        self.last_report = report
        self._note_step(report)
        return report

    def _make_report(self, report: "EngineReport") -> RankReport:
        return RankReport(
            rank=report.rank,
            epoch=report.epoch,
            term=self.term,
            open=report.open,
            step=report.step,
            map_version=report.map_version,
            prepared=report.prepared,
            armed=report.armed,
            held=report.held,
            experts=self._experts,
            uncommitted_version=self.uncommitted_version,
        )

    @property
    def choices_bytes(self) -> int:
        """Compressed size of the choices that were last read."""
        return self._choices_bytes

    @property
    def experts_per_layer(self) -> int:
        """Experts per layer; 0 before the first choices were read."""
        if self._choices is None or not self._layers:
            return 0
        return len(self._choices.counts) // self._layers

    def _clear_engine_state(self) -> None:
        """Drop what was read before the engine restarted: its counts began at zero."""
        self._choices = None
        self._experts = None
        self._experts_key = None
        self._step_sample = None
        self.pass_ms = 0.0

    def _note_step(self, report: "EngineReport") -> None:
        now = asyncio.get_running_loop().time()
        if (
            report.running == 0
            or self._step_sample is None
            or report.step < self._step_sample[0]
        ):
            self.pass_ms = 0.0
            self._step_sample = (report.step, now)
            return
        passes, took_ms = (
            report.step - self._step_sample[0],
            (now - self._step_sample[1]) * 1000,
        )
        if not passes:
            # A pass that takes longer than usual counts while it is still running.
            self.pass_ms = max(self.pass_ms, took_ms)
            return
        if took_ms < PASS_WINDOW_MS:
            return
        recent_ms = took_ms / passes
        mean_ms = self.pass_ms or recent_ms
        self.pass_ms = mean_ms + PASS_WEIGHT * (recent_ms - mean_ms)
        self._step_sample = (report.step, now)

    async def execute(self, request: OrderRequest) -> OrderResult | None:
        """Apply an order; return None if it has an old term."""
        if request.term < self.term:
            log_event(
                Event.ORDER_REFUSED, term=request.term, seen=self.term, kind="old term"
            )
            return None
        self.note_term(request.term)
        order = request.order
        if request.change is not None:
            placement = self._build_map(request.change)
            order = structs.replace(order, placement=placement)
        return await self.apply_order(order)

    def knows_base(self, request: OrderRequest) -> bool:
        """Return whether the base of an order's change is known."""
        change = request.change
        return change is None or self._find_base(change) is not None

    def known_map(self, version: int, ranks: int) -> "Placement | None":
        """Return the map of a version, if this agent has received it."""
        if version == 0 and self.experts_per_layer:
            return first_map(self._layers, self.experts_per_layer, ranks)
        return self._maps.get(version)

    def _find_base(self, change: MapChange) -> "Placement | tuple[()] | None":
        """Return a change's base, an empty one for a full map, or None if unknown."""
        if change.base == NO_BASE:
            return ()
        return self.known_map(change.base, change.ranks)

    def _build_map(self, change: MapChange) -> "Placement":
        return apply_change(change, self._find_base(change) or None)

    async def apply_order(self, order: Order) -> OrderResult:
        """Apply an order to the upstream; retry it while there is no answer."""
        if order.kind is OrderKind.COMMIT:
            return self._commit(order.version)
        if order.placement is not None:
            self._keep_map(order.version, order.placement)
            if order.version != self._committed_version:
                # A PREPARE order may arrive again, also after the commit.
                self.uncommitted_version = max(self.uncommitted_version, order.version)
        result = OrderResult.UNKNOWN
        for failed_attempts in range(MAX_ORDER_ATTEMPTS):
            began_ms = _now_ms()
            timeout_ms = self._answer_times.timeout_ms(failed_attempts)
            result = await _call_engine(self._upstream, order, timeout_ms)
            if result is not OrderResult.UNKNOWN:
                if order.kind is not OrderKind.PREPARE:
                    self._answer_times.note(_now_ms() - began_ms)
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
        """Agree that the last rank may be armed, if the version was prepared here.

        An agent that has restarted meanwhile refuses: its earlier incarnation may have
        reported the version as uncommitted, and whoever received that relies on it.
        """
        if self.uncommitted_version != version and self._committed_version != version:
            return OrderResult.REFUSED
        self.uncommitted_version, self._committed_version = 0, version
        return OrderResult.BEGUN

    def _keep_map(self, version: int, placement: "Placement") -> None:
        self._maps[version] = placement
        for old_version in sorted(self._maps)[:-MAX_KEPT_MAPS]:
            del self._maps[old_version]

    async def poll_effect(self, order: Order) -> t.AsyncIterator[RankState]:
        """Yield the rank's state after an order, and again once its effect is complete.

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
            await asyncio.sleep(COPY_WAIT_SHARE * self._last_copy_s)
        for _ in range(MAX_EFFECT_POLLS):
            if _is_complete(order, state.report):
                return
            await asyncio.sleep(EFFECT_POLL_INTERVAL_MS / 1000)
            state = await self.read_state(with_choices=False)
            if _is_complete(order, state.report):
                if order.kind is OrderKind.PREPARE:
                    self._last_copy_s = loop.time() - began
                yield state

    async def _read_experts(self, report: "EngineReport") -> None:
        """Read which experts the rank holds, once per map."""
        experts_key = (report.epoch, report.map_version)
        if self._experts_key == experts_key:
            return
        self._experts = None
        self._experts_key = None
        engine_experts = await self._upstream.experts()
        if engine_experts.version == report.map_version:
            self._experts = engine_experts.experts
            self._experts_key = experts_key
            self._layers = len(engine_experts.experts)

    async def _read_choices(self) -> bytes:
        latest = await self._upstream.choices()
        before, self._choices = self._choices, latest
        if (
            before is None
            or not self._layers
            or len(before.counts) != len(latest.counts)
        ):
            return b""
        since = [
            new - old for new, old in zip(latest.counts, before.counts, strict=True)
        ]
        if min(since) < 0:
            # The upstream has restarted: its counts began at zero.
            return b""
        experts = len(since) // self._layers
        rows = [
            since[start : start + experts] for start in range(0, len(since), experts)
        ]
        drawn = b"".join(draw_evenly(row, random.random()) for row in rows)
        choices = zlib.compress(drawn, level=1)
        self._choices_bytes = len(choices)
        return choices


def _is_complete(order: Order, report: RankReport) -> bool:
    if order.kind is OrderKind.ARM:
        return report.map_version >= order.version
    return report.prepared >= order.version


async def _call_engine(
    upstream: ModelEngine, order: Order, timeout_ms: int
) -> OrderResult:
    if order.kind is OrderKind.PREPARE:
        assert order.placement is not None
        return await upstream.prepare(order.version, order.epoch, order.placement)
    if order.kind is OrderKind.ARM:
        return await upstream.arm(order.version, order.epoch, order.step, timeout_ms)
    if order.kind is OrderKind.DISARM:
        return await upstream.disarm(order.version, order.epoch, timeout_ms)
    if order.kind is OrderKind.HOLD:
        return await upstream.hold(order.epoch, order.step, timeout_ms)
    return await upstream.release(order.epoch, order.step, timeout_ms)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000
