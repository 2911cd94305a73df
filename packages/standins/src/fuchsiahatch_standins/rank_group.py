"""Stand-in of a group of model servers that check their maps at each pass."""

import asyncio
import random
import typing as t

import orjson

from fuchsiahatch_experts.rank_orders import Order, OrderKind, OrderResult
from fuchsiahatch_http1.exchange import Exchange
from fuchsiahatch_http1.server import HttpServer
from fuchsiahatch_standins.rank_rules import (
    MixedMaps,
    Rank,
    begin_pass,
    carry_out,
    end_copies,
)

PASS_MS = 10
COPY_MS = 30
#: Choices that a rank makes in a pass, and how many of them are of the hot expert.
CHOICES = 80
HOT_CHOICES = 50
#: Requests that a rank reports unless it is told otherwise.
RUNNING = 4

Serve = t.Callable[[int, Exchange], t.Awaitable[None]]


class RankGroup:
    """A group, each rank served at an address of its own.

    Parameters
    ----------
    name : str
    ips : sequence of str
        One for each rank.
    layers, experts : int
    seed : int, optional
    serve : coroutine function, optional
        Answers what isn't a call of the agents; it is given the rank's number and the
        exchange.

    Attributes
    ----------
    pass_ms : float
        Duration of a pass.
    on_pass : callable
        Called behind the start of each pass.
    running, queued : list of int
        Requests of each rank, as it reports them.
    hot : int
        The expert that most requests choose.
    lost_share, late_share : float
        Share of the orders that are carried out and not answered, and that are not
        answered and carried out later.
    unreached : set of int
        Ranks whose hosts stand still: their engines go on, and answer nobody.
    mixed : list of str
        Passes that began with mixed maps; must stay empty.
    switches : int
        Passes that began with another map than the one before.
    """

    def __init__(
        self,
        name: str,
        ips: t.Sequence[str],
        layers: int,
        experts: int,
        seed: int = 0,
        serve: Serve | None = None,
    ) -> None:
        self.pass_ms: float = PASS_MS
        self.on_pass: t.Callable[[], None] = lambda: None
        self.running = [RUNNING] * len(ips)
        self.queued = [0] * len(ips)
        self._serve = serve
        self.name = name
        self.ips = ips
        self.layers = layers
        self.experts = experts
        self.hot = 0
        self.busy = True
        self.lost_share = 0.0
        self.late_share = 0.0
        self.late_ms = (50, 400)
        self.unreached: set[int] = set()
        self.mixed: list[str] = []
        self.switches = 0
        self.step = 0
        self.epoch = 1
        self.ports: list[int] = []
        self._rng = random.Random(seed)
        self._ranks = [Rank() for _ in ips]
        self._counts = [[0] * (layers * experts) for _ in ips]
        self._maps: dict[int, t.Any] = {0: self._first_map()}
        self._servers: list[HttpServer] = []
        self._passes: asyncio.Task[None] | None = None

    @property
    def held(self) -> bool:
        """Whether any rank holds the group back."""
        return any(rank.held is not None for rank in self._ranks)

    async def start(self) -> None:
        """Serve all ranks and begin passes."""
        for number, ip in enumerate(self.ips):
            server = HttpServer(self._make_handler(number))
            self.ports.append(await server.listen(ip, 0))
            self._servers.append(server)
        self._passes = asyncio.ensure_future(self._run_passes())

    async def close(self) -> None:
        """Stop."""
        if self._passes is not None:
            self._passes.cancel()
        for server in self._servers:
            await server.close()

    def form_anew(self) -> None:
        """Let the group begin a new epoch, as after the crash of a rank."""
        self.epoch += 1
        self._ranks = [Rank() for _ in self.ips]

    async def _run_passes(self) -> None:
        while True:
            await asyncio.sleep(self.pass_ms / 1000)
            end_copies(self._ranks, _now_ms())
            if not self.busy:
                continue
            before, last_step = self._ranks[0].map_version, self.step
            try:
                self.step = begin_pass(self._ranks, self.step)
            except MixedMaps as fault:
                self.mixed.append(str(fault))
                return
            self.switches += self._ranks[0].map_version != before
            self._choose_experts()
            if self.step != last_step:
                self.on_pass()

    def _choose_experts(self) -> None:
        for counts in self._counts:
            for layer in range(self.layers):
                at = layer * self.experts
                counts[at + self.hot] += HOT_CHOICES
                for _ in range(4):
                    expert = self._rng.randrange(self.experts)
                    counts[at + expert] += (CHOICES - HOT_CHOICES) // 4

    def _make_handler(
        self, number: int
    ) -> t.Callable[[Exchange], t.Coroutine[t.Any, t.Any, None]]:
        async def handle(exchange: Exchange) -> None:
            if number in self.unreached:
                await asyncio.sleep(30)
            path, _, query = exchange.target.decode().partition("?")
            if path == "/-/report":
                exchange.respond(200, (), orjson.dumps(self._report(number)))
            elif path == "/-/picked":
                exchange.respond(200, (), orjson.dumps(self._picked(number, query)))
            elif path == "/-/order" or self._serve is None:
                await self._take_order(number, exchange)
            else:
                await self._serve(number, exchange)

        return handle

    def _report(self, number: int) -> dict[str, t.Any]:
        rank = self._ranks[number]
        armed = rank.armed
        group = {
            "name": self.name,
            "epoch": self.epoch,
            "rank": number,
            "state": "open",
        }
        return {
            "stage": "both",
            "queued": self.queued[number],
            "running": self.running[number] if self.busy else 0,
            "pace": 1.0,
            "group": group,
            "size": len(self.ips),
            "step": self.step,
            "map": rank.map_version,
            "prepared": rank.prepared,
            "armed": armed and {"version": armed.version, "step": armed.step},
            "held": rank.held,
        }

    def _picked(self, number: int, query: str) -> dict[str, t.Any]:
        if query:
            version = self._ranks[number].map_version
            held = [layer[number] for layer in self._maps[version]]
            return {"map": {"version": version, "experts": held}}
        counts = self._counts[number]
        return {"step": self.step, "epoch": self.epoch, "counts": counts}

    async def _take_order(self, number: int, exchange: Exchange) -> None:
        body = orjson.loads(exchange.body)
        fate = self._rng.random()
        if fate < self.late_share:
            delay_s = self._rng.uniform(*self.late_ms) / 1000
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._carry_out, number, body)
            await asyncio.sleep(30)
        result = self._carry_out(number, body)
        if fate < self.late_share + self.lost_share:
            await asyncio.sleep(30)
        exchange.respond(202 if result is OrderResult.BEGUN else 409)

    def _carry_out(self, number: int, body: dict[str, t.Any]) -> OrderResult:
        if body.get("epoch") != self.epoch:
            return OrderResult.REFUSED
        version = body.get("version", 0)
        if "map" in body:
            self._maps[version] = body["map"]
        kind = OrderKind(body["operation"])
        order = Order(number, kind, self.epoch, version, body.get("step", 0))
        return carry_out(self._ranks[number], order, self.step, _now_ms(), COPY_MS)

    def _first_map(self) -> list[list[list[int]]]:
        ranks = len(self.ips)
        layer = [list(range(rank, self.experts, ranks)) for rank in range(ranks)]
        return [layer] * self.layers


def _now_ms() -> int:
    return int(asyncio.get_running_loop().time() * 1000)
