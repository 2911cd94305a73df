"""Stand-in of the key-value service, over the published etcd v3 JSON interface."""

import base64
import dataclasses
import json
import typing as t

from klein import Klein

if t.TYPE_CHECKING:
    from twisted.web.server import Request


@dataclasses.dataclass(slots=True)
class _Row:
    value: str
    mod_revision: int
    lease: str = "0"


class Store:
    """Keys and values with one revision over all.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_revision", "_rows")

    def __init__(self) -> None:
        self._revision = 0
        self._rows: dict[str, _Row] = {}

    def read(self, key: str) -> list[dict[str, str]]:
        """Return the row of a key, in the interface's form."""
        row = self._rows.get(key)
        if row is None:
            return []
        return [{"key": key, "value": row.value, "mod_revision": str(row.mod_revision)}]

    def transact(
        self, compares: list[dict[str, str]], puts: list[dict[str, str]]
    ) -> bool:
        """Put all values if all compares hold."""
        if not all(map(self._holds, compares)):
            return False
        self._revision += 1
        for put in puts:
            lease = put.get("lease", "0")
            self._rows[put["key"]] = _Row(put["value"], self._revision, lease)
        return True

    @property
    def header(self) -> dict[str, str]:
        """Return the answer header, with the store's revision."""
        return {"revision": str(self._revision)}

    def _holds(self, compare: dict[str, str]) -> bool:
        row = self._rows.get(compare["key"])
        found = 0 if row is None else row.mod_revision
        return found == int(compare["modRevision"])


def make_app(store: Store) -> Klein:
    """Make the HTTP application of a store."""
    app = Klein()

    @app.route("/v3/kv/range", methods=["POST"])
    def read(request: "Request") -> bytes:
        body = json.loads(request.content.read())
        answer = {"header": store.header, "kvs": store.read(body["key"])}
        return _write(request, answer)

    @app.route("/v3/kv/put", methods=["POST"])
    def put(request: "Request") -> bytes:
        body = json.loads(request.content.read())
        store.transact([], [body])
        return _write(request, {"header": store.header})

    @app.route("/v3/kv/txn", methods=["POST"])
    def transact(request: "Request") -> bytes:
        body = json.loads(request.content.read())
        puts = [choice["requestPut"] for choice in body.get("success", [])]
        done = store.transact(body.get("compare", []), puts)
        return _write(request, {"header": store.header, "succeeded": done})

    return app


def encode_key(key: str) -> str:
    """Return a key in the interface's form."""
    return base64.b64encode(key.encode()).decode()


def _write(request: "Request", answer: dict[str, t.Any]) -> bytes:
    request.setHeader("Content-Type", "application/json")
    return json.dumps(answer).encode()
