"""Stand-in of the key-value service, over the published etcd v3 JSON interface."""

import base64
import dataclasses
import itertools
import json
import typing as t

from klein import Klein
from twisted.internet import reactor, task
from twisted.internet.defer import Deferred

from fuchsiahatch_core.clock import Clock

if t.TYPE_CHECKING:
    from twisted.web.server import Request

_EXPIRY_S = 0.2

Watcher = t.Callable[[dict[str, t.Any]], None]
Work = t.Callable[[dict[str, t.Any]], dict[str, t.Any]]
Writes = t.Callable[[dict[str, t.Any]], bool]


@dataclasses.dataclass(slots=True)
class _Row:
    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: str = "0"


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_s: int
    ends_ms: int


class Store:
    """Keys, leases and watches with one revision over all.

    Parameters
    ----------
    clock : Clock, optional
        What leases lapse by.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = (
        "_clock",
        "_compacted",
        "_events",
        "_lease_ids",
        "_leases",
        "_revision",
        "_rows",
        "_watchers",
    )

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = Clock() if clock is None else clock
        self._revision = 0
        self._compacted = 0
        self._rows: dict[str, _Row] = {}
        self._events: list[dict[str, t.Any]] = []
        self._leases: dict[str, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._watchers: dict[Watcher, str] = {}

    @property
    def header(self) -> dict[str, str]:
        """Return the answer header, with the store's revision."""
        return {"revision": str(self._revision)}

    @property
    def watching(self) -> int:
        """Watches that are open now."""
        return len(self._watchers)

    def read(self, key: str) -> list[dict[str, str]]:
        """Return the row of a key, in the interface's form."""
        self.expire()
        row = self._rows.get(key)
        return [] if row is None else [_shown(key, row)]

    def transact(
        self, compares: list[dict[str, str]], puts: list[dict[str, str]]
    ) -> bool:
        """Put all values if all compares hold."""
        self.expire()
        if not all(map(self._holds, compares)):
            return False
        if puts:
            self._revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", "0"))
        return True

    def delete(self, keys: t.Iterable[str]) -> None:
        """Delete those of some keys that are there, in one revision."""
        found = [key for key in keys if key in self._rows]
        if found:
            self._revision += 1
        for key in found:
            del self._rows[key]
            kv = {"key": key, "mod_revision": str(self._revision)}
            self._tell({"type": "DELETE", "kv": kv})

    def restore(self, key: str, value: str) -> None:
        """Put a value as a restored backup would: without any compare."""
        self.transact([], [{"key": key, "value": value}])

    def grant(self, ttl_s: int) -> str:
        """Make a lease and return its id."""
        lease_id = str(next(self._lease_ids))
        self._leases[lease_id] = _Lease(ttl_s, self._clock.now_ms() + ttl_s * 1000)
        return lease_id

    def keep_alive(self, lease_id: str) -> int:
        """Prolong a lease and return its seconds; 0 when it is gone."""
        self.expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.ends_ms = self._clock.now_ms() + lease.ttl_s * 1000
        return lease.ttl_s

    def revoke(self, lease_id: str) -> None:
        """End a lease and delete what it holds."""
        self._leases.pop(lease_id, None)
        self.delete([key for key, row in self._rows.items() if row.lease == lease_id])

    def expire(self) -> None:
        """End the leases whose time is over."""
        now_ms = self._clock.now_ms()
        over = [name for name, one in self._leases.items() if one.ends_ms <= now_ms]
        for lease_id in over:
            self.revoke(lease_id)

    def compact(self, revision: int) -> None:
        """Forget what happened up to a revision."""
        self._compacted = max(self._compacted, revision)
        self._events = [one for one in self._events if _at(one) > revision]

    def watch(self, key: str, start: int, tell: Watcher) -> bool:
        """Tell what happened to a key from a revision on, and what will.

        Returns
        -------
        bool
            False when that revision was compacted; nothing was told then.
        """
        if start <= self._compacted:
            return False
        for event in self._events:
            if event["kv"]["key"] == key and _at(event) >= start:
                tell(event)
        self._watchers[tell] = key
        return True

    def unwatch(self, tell: Watcher) -> None:
        """End a watch."""
        self._watchers.pop(tell, None)

    def _put(self, key: str, value: str, lease: str) -> None:
        old = self._rows.get(key)
        created = self._revision if old is None else old.create_revision
        version = 1 if old is None else old.version + 1
        row = _Row(value, created, self._revision, version, lease)
        self._rows[key] = row
        self._tell({"kv": _shown(key, row)})

    def _tell(self, event: dict[str, t.Any]) -> None:
        self._events.append(event)
        watchers = list(self._watchers.items())
        for tell in (tell for tell, key in watchers if key == event["kv"]["key"]):
            tell(event)

    def _holds(self, compare: dict[str, str]) -> bool:
        row = self._rows.get(compare["key"])
        found = 0 if row is None else row.mod_revision
        return found == int(compare["modRevision"])


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong at the stand-in, and what was asked of it.

    Attributes
    ----------
    down : bool
        Every call's connection is cut, open watches too.
    slow_ms : int
        Each answer waits this long.
    lose_answers : int
        The next so many writes take effect and their connections are cut.
    calls, received_bytes, sent_bytes : int
        Counted for the benches.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    calls: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0


def make_app(store: Store, faults: Faults | None = None) -> Klein:
    """Make the HTTP application of a store.

    Parameters
    ----------
    store : Store
    faults : Faults, optional
        Also set over HTTP: ``PUT /faults`` with some of its fields.
    """
    app = Klein()
    faults = Faults() if faults is None else faults
    watches: set["Request"] = set()
    expiry = task.LoopingCall(store.expire)
    expiry.start(_EXPIRY_S, now=False)

    def route(path: str, writes: Writes) -> t.Callable[[Work], None]:
        def add(work: Work) -> None:
            def handle(request: "Request") -> t.Any:
                body = _read(request, faults)
                if faults.down:
                    return _cut(request)
                answer = work(body)
                if faults.lose_answers and writes(body):
                    faults.lose_answers -= 1
                    return _cut(request)
                return _answer(request, answer, faults)

            handle.__name__ = f"handle_{path.replace('/', '_')}"
            app.route(path, methods=["POST"])(handle)

        return add

    @route("/v3/kv/range", _never)
    def read(body: dict[str, t.Any]) -> dict[str, t.Any]:
        return {"header": store.header, "kvs": store.read(body["key"])}

    @route("/v3/kv/put", _always)
    def put(body: dict[str, t.Any]) -> dict[str, t.Any]:
        store.transact([], [body])
        return {"header": store.header}

    @route("/v3/kv/txn", _has_puts)
    def transact(body: dict[str, t.Any]) -> dict[str, t.Any]:
        chosen = body.get("success", [])
        puts = [one["requestPut"] for one in chosen if "requestPut" in one]
        done = store.transact(body.get("compare", []), puts)
        ranges = chosen if done else body.get("failure", [])
        keys = [one["requestRange"]["key"] for one in ranges if "requestRange" in one]
        responses = [{"responseRange": {"kvs": store.read(key)}} for key in keys]
        return {"header": store.header, "succeeded": done, "responses": responses}

    @route("/v3/lease/grant", _always)
    def grant(body: dict[str, t.Any]) -> dict[str, t.Any]:
        ttl_s = int(body["TTL"])
        return {"header": store.header, "ID": store.grant(ttl_s), "TTL": str(ttl_s)}

    @route("/v3/lease/keepalive", _always)
    def keep_alive(body: dict[str, t.Any]) -> dict[str, t.Any]:
        ttl_s = store.keep_alive(body["ID"])
        return {"result": {"ID": body["ID"], "TTL": str(ttl_s)}}

    @route("/v3/lease/revoke", _always)
    def revoke(body: dict[str, t.Any]) -> dict[str, t.Any]:
        store.revoke(body["ID"])
        return {"header": store.header}

    @route("/v3/kv/compaction", _always)
    def compact(body: dict[str, t.Any]) -> dict[str, t.Any]:
        store.compact(int(body["revision"]))
        return {"header": store.header}

    @app.route("/v3/watch", methods=["POST"])
    def watch(request: "Request") -> t.Any:
        wanted = _read(request, faults)["create_request"]
        if faults.down:
            return _cut(request)
        return _serve_watch(request, store, wanted, watches, faults)

    @app.route("/faults", methods=["GET", "PUT"])
    def change_faults(request: "Request") -> bytes:
        if request.method == b"PUT":
            for name, value in json.loads(request.content.read()).items():
                setattr(faults, name, value)
        if faults.down:
            for waiting in list(watches):
                _cut(waiting)
        shown = dataclasses.asdict(faults) | {"watching": store.watching}
        return json.dumps(shown).encode()

    return app


def encode_key(key: str) -> str:
    """Return a key in the interface's form."""
    return base64.b64encode(key.encode()).decode()


def _serve_watch(
    request: "Request",
    store: Store,
    wanted: dict[str, str],
    watches: set["Request"],
    faults: Faults,
) -> Deferred[bytes]:
    gone: Deferred[bytes] = Deferred()

    def write(**result: t.Any) -> None:
        line = json.dumps({"result": {"header": store.header} | result}) + "\n"
        faults.sent_bytes += len(line)
        request.write(line.encode())

    def tell(event: dict[str, t.Any]) -> None:
        write(events=[event])

    def end(_: t.Any) -> None:
        store.unwatch(tell)
        watches.discard(request)
        gone.callback(b"")

    write(created=True)
    if not store.watch(wanted["key"], int(wanted.get("start_revision", "0")), tell):
        write(canceled=True, compact_revision=store.header["revision"])
        return b""
    watches.add(request)
    request.notifyFinish().addBoth(end)
    return gone


def _read(request: "Request", faults: Faults) -> dict[str, t.Any]:
    content = request.content.read()
    faults.calls += 1
    faults.received_bytes += len(content)
    return json.loads(content)


def _cut(request: "Request") -> t.Any:
    # The connection ends with no answer, as when the service's host dies.
    request.transport.abortConnection()
    return Deferred()


def _answer(request: "Request", answer: dict[str, t.Any], faults: Faults) -> t.Any:
    request.setHeader("Content-Type", "application/json")
    content = json.dumps(answer).encode()
    faults.sent_bytes += len(content)
    if not faults.slow_ms:
        return content
    return task.deferLater(reactor, faults.slow_ms / 1000, lambda: content)


def _shown(key: str, row: _Row) -> dict[str, str]:
    return {
        "key": key,
        "value": row.value,
        "create_revision": str(row.create_revision),
        "mod_revision": str(row.mod_revision),
        "version": str(row.version),
        "lease": row.lease,
    }


def _never(body: dict[str, t.Any]) -> bool:
    return False


def _always(body: dict[str, t.Any]) -> bool:
    return True


def _has_puts(body: dict[str, t.Any]) -> bool:
    return any("requestPut" in one for one in body.get("success", []))


def _at(event: dict[str, t.Any]) -> int:
    return int(event["kv"]["mod_revision"])
