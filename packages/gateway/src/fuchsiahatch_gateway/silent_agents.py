"""Ranks whose agents are silent: the leader speaks with their engines itself."""

import asyncio
import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_experts.rank_orders import RankReport
from fuchsiahatch_experts.switching import Phase
from fuchsiahatch_gateway.rank_agent import RankAgent
from fuchsiahatch_gateway.tasks import Tasks

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.model_engine import ModelEngine

#: Silence of an agent after which the leader speaks with its engine itself: an agent
#: that was killed, or whose host stands still, must not hold its group until it is back
#: nor keep it on an old map (measured: four seconds at a skew of 2 to 3). Such orders
#: and reports are priced, so that it is done in need only.
SILENCE_TIMEOUT_MS = 350
#: Pause between two reports that the leader asks an engine for itself, while passes may
#: be held back and otherwise.
HELD_POLL_MS = 40
POLL_INTERVAL_MS = 150
#: Share of the leader's link for such questions, and what one takes of it with its
#: answer. 57 engines asked at once each 150 ms filled a link of 4 Mbit/s: every call
#: timed out, the renewal of the lease among them.
ASKING_LINK_SHARE = 0.1
POLL_BYTES = 1_000
#: Engines that are asked at once however narrow the link is.
LEAST_ASKED = 3
#: Pause between two searches for engines whose agents were never heard.
SEARCH_MS = 1_000
#: Phases in which passes may be held back, by this leader or an earlier one.
_HOLDING_PHASES = (
    Phase.SETTLING,
    Phase.HOLDING,
    Phase.ARMING,
    Phase.RELEASING,
    Phase.CLEARING,
)


class SilentAgents:
    """Keeps note of which agents are heard, and asks the engines of the others.

    Parameters
    ----------
    group : str
    term, own_rank, ranks : int
    engine_of : callable
        Makes a client of the engine at an address.
    list_engines : coroutine function
        Returns the addresses of all engines of the service.
    on_report : callable
        Is given the reports that the leader asked for itself.
    link_bytes_per_s : float
        Bandwidth of the leader's host.
    """

    __slots__ = (
        "_addresses",
        "_asking",
        "_engine_of",
        "_group",
        "_heard_ms",
        "_last_asked_ms",
        "_list_engines",
        "_most_asked",
        "_on_report",
        "_own_rank",
        "_poll_ms",
        "_ranks",
        "_searched_ms",
        "_since_ms",
        "_speakers",
        "_tasks",
        "_term",
    )

    def __init__(
        self,
        group: str,
        term: int,
        own_rank: int,
        ranks: int,
        engine_of: t.Callable[[str], "ModelEngine"],
        list_engines: t.Callable[[], t.Awaitable[t.Sequence[str]]],
        on_report: t.Callable[[RankReport], None],
        link_bytes_per_s: float,
    ) -> None:
        self._group = group
        self._term = term
        self._own_rank = own_rank
        self._ranks = ranks
        self._engine_of = engine_of
        self._list_engines = list_engines
        self._on_report = on_report
        self._addresses: dict[int, str] = {}
        self._heard_ms: dict[int, int] = {}
        self._since_ms: int | None = None
        self._poll_ms = POLL_INTERVAL_MS
        self._searched_ms: int | None = None
        self._speakers: dict[int, RankAgent] = {}
        self._asking: set[int] = set()
        self._last_asked_ms: dict[int, int] = {}
        room_bytes = ASKING_LINK_SHARE * link_bytes_per_s * POLL_INTERVAL_MS / 1000
        self._most_asked = max(int(room_bytes / POLL_BYTES), LEAST_ASKED)
        self._tasks = Tasks()

    def note_contact(self, rank: int, address: str, heard_ms: int) -> None:
        """Note that a rank's agent was heard, by the clock of `Hearing`."""
        self._addresses[rank] = address
        self._heard_ms[rank] = heard_ms
        self._speakers.pop(rank, None)

    def address(self, rank: int) -> str | None:
        """Return the address of a rank's engine, if it is known."""
        return self._addresses.get(rank)

    def next_rank_with_agent(self, rank: int) -> int | None:
        """Return the next rank behind one whose agent is heard, or None."""
        behind = ((rank + step) % self._ranks for step in range(1, self._ranks))
        return next(
            (
                one
                for one in behind
                if one in self._heard_ms and not self.direct_client(one)
            ),
            None,
        )

    def direct_client(self, rank: int) -> RankAgent | None:
        """Return who speaks with a rank's engine in place of its agent, if anybody."""
        return self._speakers.get(rank)

    def work(self, phase: Phase, heard_ms: int, now_ms: int) -> None:
        """Ask the engines of silent agents.

        Parameters
        ----------
        phase : Phase
        heard_ms : int
            Time for which agents could be heard.
        now_ms : int
        """
        self._poll_ms = HELD_POLL_MS if phase in _HOLDING_PHASES else POLL_INTERVAL_MS
        if self._since_ms is None:
            self._since_ms = heard_ms
        for rank in self._silent_ranks(heard_ms - SILENCE_TIMEOUT_MS):
            self._speak_for(rank, now_ms)

    def _silent_ranks(self, until_ms: int) -> list[int]:
        """Return the ranks not heard since a time, those asked longest ago first."""
        since_ms = self._since_ms or 0
        silent = (
            rank
            for rank in range(self._ranks)
            if rank != self._own_rank and self._heard_ms.get(rank, since_ms) <= until_ms
        )
        return sorted(silent, key=lambda rank: self._last_asked_ms.get(rank, 0))

    def stop(self) -> None:
        """Ask no more."""
        self._tasks.cancel()

    def _speak_for(self, rank: int, now_ms: int) -> None:
        address = self._addresses.get(rank)
        if address is None:
            self._search(now_ms)
            return
        if rank in self._asking or len(self._asking) >= self._most_asked:
            return
        if rank not in self._speakers:
            log_event(Event.AGENT_LOST, group=self._group, rank=rank)
            self._speakers[rank] = self._make_speaker(address)
        self._asking.add(rank)
        self._last_asked_ms[rank] = now_ms
        self._tasks.begin(self._ask(rank, self._speakers[rank]))

    def _search(self, now_ms: int) -> None:
        if self._searched_ms is not None and now_ms - self._searched_ms < SEARCH_MS:
            return
        self._searched_ms = now_ms
        self._tasks.begin(self._find_engines())

    async def _find_engines(self) -> None:
        """Ask the engines that no agent speaks for which rank they are."""
        try:
            listed = await self._list_engines()
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return
        unknown = set(listed) - set(self._addresses.values())
        # A few at a time, as above: those of a fleet of 190 would fill the link.
        room = asyncio.Semaphore(self._most_asked)
        await asyncio.gather(*(self._ask_rank(one, room) for one in unknown))

    async def _ask_rank(self, address: str, room: asyncio.Semaphore) -> None:
        try:
            async with room:
                seen = await self._engine_of(address).report()
        except PlatformError as fault:
            log_event(Event.UPSTREAM_SILENT, address=address, detail=fault.detail)
            return
        if seen.group == self._group:
            self._addresses.setdefault(seen.rank, address)

    async def _ask(self, rank: int, speaker: RankAgent) -> None:
        try:
            state = await speaker.read_state(with_choices=False)
            if self._speakers.get(rank) is speaker and state.report.rank == rank:
                self._on_report(state.report)
        except PlatformError as fault:
            log_event(Event.UPSTREAM_SILENT, rank=rank, detail=fault.detail)
        finally:
            await asyncio.sleep(self._poll_ms / 1000)
            self._asking.discard(rank)

    def _make_speaker(self, address: str) -> RankAgent:
        speaker = RankAgent(self._engine_of(address), address)
        speaker.note_term(self._term)
        return speaker
