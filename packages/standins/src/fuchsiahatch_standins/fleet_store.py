"""Stand-in of the platform's store, over its published protocol."""

import asyncio
import base64
import dataclasses
import typing as t
import urllib.parse

import orjson

from fuchsiahatch_http1.exchange import Exchange
from fuchsiahatch_http1.server import HttpServer

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item

#: Items on one page of a range.
PAGE_ITEMS = 50
WATCH_PATH = "/-/kv-watch"
#: Part of an answer that goes out at once where answers are slow.
PIECE_BYTES = 8_192


@dataclasses.dataclass(slots=True)
class _Stored:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_ms: int
    timer: asyncio.TimerHandle


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """An older state of the store."""

    items: dict[str, _Stored]
    ttls_ms: dict[int, int]
    revision: int
    next_lease: int


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong at the store.

    Attributes
    ----------
    status : int
        Status of every answer while it isn't 0.
    silent : bool
        Whether calls get no answer.
    lose_writes : bool
        Whether writes are done and not answered.
    bytes_per_s : float
        Rate at which each answer goes out; 0 for all at once.
    silent_behind_bytes : int
        Bytes of an answer behind which nothing more comes; 0 for none.
    fail_each : int
        Each call of this number is refused with 503; 0 for none.
    lost_watches : int
        Watches whose answers are lost; their channels stay open.
    silent_watches : int
        Watches that are accepted and never answered; their channels stay open.
    delay_ms : int
        Delay of each answer.
    """

    status: int = 0
    silent: bool = False
    lose_writes: bool = False
    bytes_per_s: float = 0.0
    silent_behind_bytes: int = 0
    fail_each: int = 0
    lost_watches: int = 0
    silent_watches: int = 0
    delay_ms: int = 0


class FleetStore:
    """The store in memory.

    Attributes
    ----------
    faults : Faults
    calls : list of str
        Paths of the calls so far.
    era : int or None
        How often it came back from an older copy, as its answers say; None for answers
        that don't.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: list[str] = []
        self.era: int | None = 1
        self.revision = 1
        self._items: dict[str, _Stored] = {}
        self._history: list[dict[str, t.Any]] = []
        self._compacted = 0
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 70_000
        self._changed = asyncio.Event()
        self._server = HttpServer(self._answer)

    async def listen(self, ip: str = "127.0.0.1", port: int = 0) -> int:
        """Serve and return the port."""
        return await self._server.listen(ip, port)

    async def close(self) -> None:
        """Stop, and close what is open."""
        await self._server.stop_accepting()
        self.cut()
        for lease in self._leases.values():
            lease.timer.cancel()

    def put(self, key: str, value: t.Any, lease: int = 0) -> None:
        """Write an item as the operator or a server would."""
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        self.revision += 1
        known = self._items.get(key)
        created = self.revision if known is None else known.created
        self._items[key] = _Stored(data, self.revision, created, lease)
        self._note({"key": key, **_encode(key, self._items[key])})

    def remove(self, key: str) -> None:
        """Delete an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def compact(self) -> None:
        """Forget the history."""
        self._compacted = self.revision
        self._history.clear()

    def copy(self) -> "StoreCopy":
        """Return a copy of what is there now, as a drill restores it."""
        items = {key: dataclasses.replace(one) for key, one in self._items.items()}
        ttls_ms = {number: one.ttl_ms for number, one in self._leases.items()}
        return StoreCopy(items, ttls_ms, self.revision, self._next_lease)

    def restore(self, copy: "StoreCopy") -> None:
        """Come back from a copy: revisions and leases' numbers are given out again."""
        self.cut()
        for lease in self._leases.values():
            lease.timer.cancel()
        self._items = {key: dataclasses.replace(one) for key, one in copy.items.items()}
        self._leases = {
            number: _Lease(ttl_ms, self._start_timer(number, ttl_ms))
            for number, ttl_ms in copy.ttls_ms.items()
        }
        self.revision = copy.revision
        self._next_lease = copy.next_lease
        self._history.clear()
        self._compacted = 0
        self.era = (self.era or 0) + 1

    def cut(self) -> None:
        """Reset all connections, watches included."""
        for connection in tuple(self._server.connections):
            connection.abort()

    def get(self, key: str) -> bytes | None:
        """Return a value."""
        stored = self._items.get(key)
        return None if stored is None else stored.value

    def keys(self, prefix: str) -> list[str]:
        """Return the keys below a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def end_leases(self) -> None:
        """Let all leases run out."""
        for lease in tuple(self._leases):
            self._end_lease(lease)

    def _note(self, event: dict[str, t.Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, exchange: Exchange) -> None:
        path, _, query = exchange.target.decode().partition("?")
        self.calls.append(path)
        if self.faults.silent or self._takes("silent_watches", path):
            await asyncio.get_running_loop().create_future()
        refused = self.faults.fail_each and not len(self.calls) % self.faults.fail_each
        if self.faults.status or refused:
            exchange.respond(self.faults.status or 503, self._era_header())
            return
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        body = orjson.loads(exchange.body) if exchange.body else {}
        status, answer = await self._serve(path, fields, body)
        if self.faults.lose_writes and exchange.method != b"GET":
            exchange.abort()
            return
        if self._takes("lost_watches", path):
            await asyncio.get_running_loop().create_future()
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        await self._respond(exchange, status, orjson.dumps(answer))

    def _takes(self, fault: str, path: str) -> bool:
        """Return whether a call is a watch that a counted fault meets; count it."""
        left = getattr(self.faults, fault)
        if not left or path != WATCH_PATH:
            return False
        setattr(self.faults, fault, left - 1)
        return True

    def _era_header(self) -> list[tuple[bytes, bytes]]:
        return [] if self.era is None else [(b"store-era", b"%d" % self.era)]

    async def _respond(self, exchange: Exchange, status: int, body: bytes) -> None:
        """Send an answer as fast as the faults allow."""
        faults = self.faults
        if not faults.bytes_per_s and not faults.silent_behind_bytes:
            exchange.respond(status, self._era_header(), body)
            return
        length = (b"content-length", b"%d" % len(body))
        exchange.start(status, [*self._era_header(), length])
        for at in range(0, len(body), PIECE_BYTES):
            if 0 < faults.silent_behind_bytes <= at:
                await asyncio.get_running_loop().create_future()
            piece = body[at : at + PIECE_BYTES]
            if faults.bytes_per_s:
                await asyncio.sleep(len(piece) / faults.bytes_per_s)
            exchange.write(piece)
        exchange.finish()

    async def _serve(
        self, path: str, fields: dict[str, str], body: dict[str, t.Any]
    ) -> tuple[int, t.Any]:
        name = path.removeprefix("/-/kv-").partition("/")
        if name[0] == "key":
            return self._serve_key(fields["key"])
        if name[0] == "range":
            return self._serve_range(fields)
        if name[0] == "watch":
            return await self._serve_watch(fields)
        if name[0] == "txn":
            return self._serve_transaction(body)
        if name[0] == "lease":
            return self._serve_grant(int(body["ttlMs"]))
        if name[0] == "keep":
            return self._serve_keep(int(name[2]))
        self._end_lease(int(name[2]))
        return 200, {}

    def _serve_key(self, key: str) -> tuple[int, t.Any]:
        stored = self._items.get(key)
        if stored is None:
            return 404, {}
        return 200, {**_encode(key, stored), "currentRev": self.revision}

    def _serve_range(self, fields: dict[str, str]) -> tuple[int, t.Any]:
        after = fields.get("after", "")
        keys = [key for key in self.keys(fields["prefix"]) if key > after]
        items = [_encode(key, self._items[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": items, "morePages": more, "currentRev": self.revision}

    async def _serve_watch(self, fields: dict[str, str]) -> tuple[int, t.Any]:
        after, prefix = int(fields["after"]), fields["prefix"]
        loop = asyncio.get_running_loop()
        until = loop.time() + int(fields["waitMs"]) / 1000
        while True:
            if after < self._compacted or after > self.revision:
                return 410, {}
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _serve_transaction(self, body: dict[str, t.Any]) -> tuple[int, t.Any]:
        for condition in body["expected"]:
            stored = self._items.get(condition["key"])
            if (0 if stored is None else stored.revision) != condition["revision"]:
                return 412, {"items": []}
        if any(put.get("lease", 0) not in (0, *self._leases) for put in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    def _serve_grant(self, ttl_ms: int) -> tuple[int, t.Any]:
        self._next_lease += 1
        number = self._next_lease
        timer = self._start_timer(number, ttl_ms)
        self._leases[number] = _Lease(ttl_ms, timer)
        return 200, {"lease": number, "ttlMs": ttl_ms}

    def _serve_keep(self, number: int) -> tuple[int, t.Any]:
        lease = self._leases.get(number)
        if lease is None:
            return 404, {}
        lease.timer.cancel()
        lease.timer = self._start_timer(number, lease.ttl_ms)
        return 200, {"ttlMs": lease.ttl_ms}

    def _start_timer(self, number: int, ttl_ms: int) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(ttl_ms / 1000, self._end_lease, number)

    def _end_lease(self, number: int) -> None:
        lease = self._leases.pop(number, None)
        if lease is None:
            return
        lease.timer.cancel()
        for key in [key for key, one in self._items.items() if one.lease == number]:
            self.remove(key)


def _encode(key: str, stored: _Stored) -> dict[str, t.Any]:
    return {
        "key": key,
        "value": base64.b64encode(stored.value).decode(),
        "revision": stored.revision,
        "createdRev": stored.created,
        "lease": stored.lease,
    }


def make_upstream_entry(
    service: str, address: str, **changes: t.Any
) -> dict[str, t.Any]:
    """Return an upstream's entry as an upstream writes it."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        **changes,
    }


def make_upstream_item(
    instance: str, service: str, address: str, places: int, leaving: bool = False
) -> "Item":
    """Return an upstream's entry as a reader of the store gets it."""
    from fuchsiahatch_adapter.store import Item

    state = "draining" if leaving else "ready"
    fields = make_upstream_entry(service, address, slots=places, state=state)
    return Item(f"servers/{instance}", orjson.dumps(fields), revision=1, created=1)
