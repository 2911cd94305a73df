"""Ranks whose agents are silent: the leader contacts their engines directly."""

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

#: Silence of an agent after which the leader contacts its engine directly: an agent
#: that was killed, or whose host has stalled, must neither hold its group until it is
#: back nor keep it on an old map, which lasts for 4 s at a skew of 2 to 3. Direct
#: orders and reports are priced, so they are used only when needed.
SILENCE_TIMEOUT_MS = 350
#: Interval between two direct polls of an engine, while passes may be held back and
#: otherwise.
HELD_POLL_INTERVAL_MS = 40
POLL_INTERVAL_MS = 150
#: Share of the leader's link for such polls, and the size of a poll with its answer.
#: Polling 57 engines at once every 150 ms fills a link of 4 Mbit/s, and every call
#: times out, including the renewal of the lease.
POLL_LINK_SHARE = 0.1
POLL_BYTES = 1_000
#: Concurrent polls that are allowed however slow the link is.
MIN_CONCURRENT_POLLS = 3
#: Interval between two searches for engines whose agents have never sent anything.
SEARCH_INTERVAL_MS = 1_000
#: Phases in which passes may be held back, by this leader or an earlier one.
_HOLDING_PHASES = (
    Phase.SETTLING,
    Phase.HOLDING,
    Phase.ARMING,
    Phase.RELEASING,
    Phase.CLEARING,
)


class SilentAgents:
    """Tracks which agents are in contact, and polls the engines of the others.

    Parameters
    ----------
    group : str
    term, local_rank, ranks : int
    connect_engine : callable
        Makes a client of the engine at an address.
    list_engines : coroutine function
        Returns the addresses of all engines of the service.
    on_report : callable
        Called with each report from a direct poll.
    link_bytes_per_s : float
        Bandwidth of the leader's host.
    """

    __slots__ = (
        "_addresses",
        "_clients",
        "_connect_engine",
        "_contact_ms",
        "_group",
        "_list_engines",
        "_local_rank",
        "_max_polls",
        "_on_report",
        "_poll_interval_ms",
        "_polled_ms",
        "_polling",
        "_ranks",
        "_searched_ms",
        "_started_ms",
        "_tasks",
        "_term",
    )

    def __init__(
        self,
        group: str,
        term: int,
        local_rank: int,
        ranks: int,
        connect_engine: t.Callable[[str], "ModelEngine"],
        list_engines: t.Callable[[], t.Awaitable[t.Sequence[str]]],
        on_report: t.Callable[[RankReport], None],
        link_bytes_per_s: float,
    ) -> None:
        self._group = group
        self._term = term
        self._local_rank = local_rank
        self._ranks = ranks
        self._connect_engine = connect_engine
        self._list_engines = list_engines
        self._on_report = on_report
        self._addresses: dict[int, str] = {}
        self._contact_ms: dict[int, int] = {}
        self._started_ms: int | None = None
        self._poll_interval_ms = POLL_INTERVAL_MS
        self._searched_ms: int | None = None
        self._clients: dict[int, RankAgent] = {}
        self._polling: set[int] = set()
        self._polled_ms: dict[int, int] = {}
        budget_bytes = POLL_LINK_SHARE * link_bytes_per_s * POLL_INTERVAL_MS / 1000
        self._max_polls = max(int(budget_bytes / POLL_BYTES), MIN_CONCURRENT_POLLS)
        self._tasks = Tasks()

    def note_contact(self, rank: int, address: str, active_ms: int) -> None:
        """Note a message from a rank's agent.

        Parameters
        ----------
        rank : int
        address : str
            Address of the rank's engine.
        active_ms : int
            Time by `StallAwareClock`, which stops while this process is stalled.
        """
        self._addresses[rank] = address
        self._contact_ms[rank] = active_ms
        self._clients.pop(rank, None)

    def address(self, rank: int) -> str | None:
        """Return the address of a rank's engine, if it is known."""
        return self._addresses.get(rank)

    def next_rank_with_agent(self, rank: int) -> int | None:
        """Return the next rank after a given one whose agent is in contact, or None."""
        following = ((rank + step) % self._ranks for step in range(1, self._ranks))
        return next(
            (
                candidate
                for candidate in following
                if candidate in self._contact_ms and not self.direct_client(candidate)
            ),
            None,
        )

    def direct_client(self, rank: int) -> RankAgent | None:
        """Return the leader's client of a rank's engine if the agent is silent."""
        return self._clients.get(rank)

    def work(self, phase: Phase, active_ms: int, now_ms: int) -> None:
        """Poll the engines of silent agents.

        Parameters
        ----------
        phase : Phase
            Phase of the switch, which decides the polling interval.
        active_ms : int
            Time by `StallAwareClock`, which stops while this process is stalled.
        now_ms : int
        """
        self._poll_interval_ms = (
            HELD_POLL_INTERVAL_MS if phase in _HOLDING_PHASES else POLL_INTERVAL_MS
        )
        if self._started_ms is None:
            self._started_ms = active_ms
        for rank in self._silent_ranks(active_ms - SILENCE_TIMEOUT_MS):
            self._poll(rank, now_ms)

    def _silent_ranks(self, until_ms: int) -> list[int]:
        """Return ranks without contact since a time, least recently polled first.

        The leader's rank is never among them.
        """
        started_ms = self._started_ms or 0
        silent = (
            rank
            for rank in range(self._ranks)
            if rank != self._local_rank
            and self._contact_ms.get(rank, started_ms) <= until_ms
        )
        return sorted(silent, key=lambda rank: self._polled_ms.get(rank, 0))

    def stop(self) -> None:
        """Cancel all polls."""
        self._tasks.cancel()

    def _poll(self, rank: int, now_ms: int) -> None:
        address = self._addresses.get(rank)
        if address is None:
            self._search(now_ms)
            return
        if rank in self._polling or len(self._polling) >= self._max_polls:
            return
        if rank not in self._clients:
            log_event(Event.AGENT_LOST, group=self._group, rank=rank)
            self._clients[rank] = self._make_client(address)
        self._polling.add(rank)
        self._polled_ms[rank] = now_ms
        self._tasks.begin(self._poll_engine(rank, self._clients[rank]))

    def _search(self, now_ms: int) -> None:
        if (
            self._searched_ms is not None
            and now_ms - self._searched_ms < SEARCH_INTERVAL_MS
        ):
            return
        self._searched_ms = now_ms
        self._tasks.begin(self._find_engines())

    async def _find_engines(self) -> None:
        """Ask the engines without a known agent for their ranks."""
        try:
            listed = await self._list_engines()
        except PlatformError as fault:
            log_event(Event.SERVICE_CALL_FAILED, detail=fault.detail)
            return
        unknown = set(listed) - set(self._addresses.values())
        # A few at a time: polling the engines of a fleet of 190 at once would fill the
        # link.
        semaphore = asyncio.Semaphore(self._max_polls)
        await asyncio.gather(
            *(self._identify_engine(address, semaphore) for address in unknown)
        )

    async def _identify_engine(
        self, address: str, semaphore: asyncio.Semaphore
    ) -> None:
        try:
            async with semaphore:
                report = await self._connect_engine(address).report()
        except PlatformError as fault:
            log_event(Event.UPSTREAM_SILENT, address=address, detail=fault.detail)
            return
        if report.group == self._group:
            self._addresses.setdefault(report.rank, address)

    async def _poll_engine(self, rank: int, client: RankAgent) -> None:
        try:
            state = await client.read_state(with_choices=False)
            if self._clients.get(rank) is client and state.report.rank == rank:
                self._on_report(state.report)
        except PlatformError as fault:
            log_event(Event.UPSTREAM_SILENT, rank=rank, detail=fault.detail)
        finally:
            await asyncio.sleep(self._poll_interval_ms / 1000)
            self._polling.discard(rank)

    def _make_client(self, address: str) -> RankAgent:
        client = RankAgent(self._connect_engine(address), address)
        client.note_term(self._term)
        return client
