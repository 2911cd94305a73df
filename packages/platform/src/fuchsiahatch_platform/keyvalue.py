"""Client of the key-value service, over the published etcd v3 JSON interface."""

import asyncio
import base64
import contextlib
import dataclasses
import random
import typing as t

from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.exceptions import (
    AmbiguousWriteError,
    PlatformError,
    UnsentError,
)
from fuchsiahatch_platform.budget import CallBudget

if t.TYPE_CHECKING:
    from fuchsiahatch_platform.http import HttpCaller

#: How often a read is made at most, the first try included.
READ_TRIES = 3
#: Longest pause before the first repeat of a read; it doubles with each.
BACKOFF_MS = 50
#: Silence after which a watch is opened anew. A service whose host lost its power ends
#: no connection: without this its watches would wait on it for ever.
WATCH_IDLE_MS = 60_000

_RANGE = "/v3/kv/range"
_TRANSACT = "/v3/kv/txn"
_WATCH = "/v3/watch"
_GRANT = "/v3/lease/grant"
_KEEP_ALIVE = "/v3/lease/keepalive"
_REVOKE = "/v3/lease/revoke"

Sleep = t.Callable[[float], t.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """A value with the version that a compare-and-swap names.

    Attributes
    ----------
    value : bytes
        What is kept.
    mod_revision : int
        The service's revision of the last write to this key; 0 when absent.
    """

    value: bytes
    mod_revision: int


ABSENT = KeyValue(b"", 0)


class KeyValueClient:
    """The few calls that fuchsiahatch needs of the key-value service.

    Parameters
    ----------
    url : str
        Base address, such as ``http://127.0.0.1:2379``.
    caller : HttpCaller
        Makes the calls, each under its time limit.
    budget : CallBudget, optional
        Counts the calls of this process; one of its own by default.
    rng : random.Random, optional
        Jitter of the pauses before repeats.
    sleep : callable, optional
        Waits for some seconds.

    Notes
    -----
    Reads are repeated a few times. Writes never are: only their caller can tell
    whether the first took effect.

    .. versionadded:: 0.1
    """

    __slots__ = ("_caller", "_rng", "_sleep", "_url", "budget")

    def __init__(
        self,
        url: str,
        caller: "HttpCaller",
        budget: CallBudget | None = None,
        rng: random.Random | None = None,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self._url = url.rstrip("/")
        self._caller = caller
        self.budget = CallBudget(Clock()) if budget is None else budget
        self._rng = random.Random() if rng is None else rng
        self._sleep = sleep

    @property
    def calls(self) -> int:
        """Calls made so far, of all kinds."""
        return self.budget.calls.total()

    async def get(self, key: str) -> KeyValue:
        """Return the value under a key, or `ABSENT`.

        Raises
        ------
        PlatformError
            When no try had a usable answer.
        """
        answer = await self._read("range", _RANGE, {"key": _encode(key)})
        return _first_kv(answer)

    async def get_changed(self, known: t.Mapping[str, int]) -> dict[str, KeyValue]:
        """Return all of some keys if any has another version than is known.

        Parameters
        ----------
        known : dict of str to int
            `KeyValue.mod_revision` by key; 0 for a key that was absent, -1 for
            one that was never read.

        Returns
        -------
        dict of str to KeyValue
            Empty when all versions are as known, so that a confirmation costs a
            few hundred bytes, not the values.

        Raises
        ------
        PlatformError
            When there was no usable answer. It is asked once only: whoever
            confirms a revision asks anew soon, and an answer to a repeat would
            confirm no later time than the first try's.
        """
        body = {
            "compare": [_compare(key, version) for key, version in known.items()],
            "failure": [{"requestRange": {"key": _encode(key)}} for key in known],
        }
        answer = await self._call("confirm", _TRANSACT, body)
        if answer.get("succeeded", False):
            return {}
        found = (one["responseRange"] for one in answer["responses"])
        return dict(zip(known, map(_first_kv, found), strict=True))

    async def create(self, key: str, value: bytes, lease_id: int | None = None) -> bool:
        """Write a value if its key is absent; see `swap`."""
        return await self.swap(key, value, 0, lease_id)

    async def swap(
        self, key: str, value: bytes, expected: int, lease_id: int | None = None
    ) -> bool:
        """Write a value if the key's version is still the expected one.

        Parameters
        ----------
        key : str
        value : bytes
        expected : int
            `KeyValue.mod_revision` as read; 0 creates the key if it is absent.
        lease_id : int, optional
            Lease that the key expires with.

        Returns
        -------
        bool
            Whether the write took effect.

        Raises
        ------
        AmbiguousWriteError
            When the answer was lost and the write may have taken effect.
        UnsentError
            When the write never reached the service.
        """
        put = {"key": _encode(key), "value": base64.b64encode(value).decode()}
        if lease_id is not None:
            put["lease"] = str(lease_id)
        body = {"compare": [_compare(key, expected)], "success": [{"requestPut": put}]}
        answer = await self._write("swap", _TRANSACT, body)
        return bool(answer.get("succeeded", False))

    async def grant_lease(self, ttl_ms: int) -> int:
        """Make a lease and return its id.

        Parameters
        ----------
        ttl_ms : int
            How long it lasts without a keep-alive, rounded up to seconds.

        Raises
        ------
        AmbiguousWriteError
            When the answer was lost; a lease that came about lapses by itself.
        UnsentError
            When the call never reached the service.
        """
        answer = await self._write("grant", _GRANT, {"TTL": str(-(-ttl_ms // 1000))})
        return int(answer["ID"])

    async def keep_alive(self, lease_id: int) -> int:
        """Prolong a lease and return how long it now lasts in ms; 0 when gone."""
        answer = await self._write("keep-alive", _KEEP_ALIVE, {"ID": str(lease_id)})
        return int(answer["result"].get("TTL", 0)) * 1000

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; the keys that it holds go with it."""
        await self._write("revoke", _REVOKE, {"ID": str(lease_id)})

    async def watch(self, key: str) -> t.AsyncIterator[KeyValue]:
        """Yield a key's value now and after each write, for ever.

        Yields
        ------
        KeyValue
            `ABSENT`'s value after a delete. A value may come twice; none that
            is the newest when the watch reaches it is left out.

        Raises
        ------
        PlatformError
            When the service is silent; watch again after a pause.
        """
        while True:
            # The first read and each read after a compaction give the revision
            # from which the watch goes on, so that no write falls between.
            answer = await self._read("range", _RANGE, {"key": _encode(key)})
            yield _first_kv(answer)
            start = _revision(answer) + 1
            # A generator left half read is closed late; its watch would go on
            # being counted at the service.
            async with contextlib.aclosing(self._watch_from(key, start)) as values:
                async for value in values:
                    yield value

    async def _watch_from(self, key: str, start: int) -> t.AsyncIterator[KeyValue]:
        """Yield what happens from a revision on, until that is compacted away."""
        while True:
            results = self._open_watch(key, start)
            async with contextlib.aclosing(results):
                async for result in results:
                    if int(result.get("compact_revision", 0)):
                        return
                    for event in result.get("events", []):
                        start = int(event["kv"]["mod_revision"]) + 1
                        yield _key_value(event["kv"])
            # The stream broke off. Going on at the next revision, not at the
            # service's present one, leaves no gap.
            await self._pause(1)

    async def _open_watch(self, key: str, start: int) -> t.AsyncIterator[t.Any]:
        """Yield the results of one watch until its connection ends."""
        request = {"key": _encode(key), "start_revision": str(start)}
        lines = self._caller.lines(
            "POST", self._url + _WATCH, {"create_request": request}, WATCH_IDLE_MS
        )
        with self.budget.waiting_watch():
            async with contextlib.aclosing(lines):
                async for line in lines:
                    yield line["result"]

    async def _read(self, kind: str, path: str, body: dict[str, t.Any]) -> t.Any:
        for number in range(1, READ_TRIES):
            try:
                return await self._call(kind, path, body)
            except PlatformError:
                await self._pause(number)
        return await self._call(kind, path, body)

    async def _write(self, kind: str, path: str, body: dict[str, t.Any]) -> t.Any:
        try:
            return await self._call(kind, path, body)
        except UnsentError:
            raise
        except PlatformError as fault:
            raise AmbiguousWriteError(f"{kind}: {fault.detail}") from fault

    async def _call(self, kind: str, path: str, body: dict[str, t.Any]) -> t.Any:
        self.budget.spend(kind)
        return await self._caller.call("POST", self._url + path, body)

    async def _pause(self, number: int) -> None:
        longest_ms = BACKOFF_MS * 2 ** (number - 1)
        await self._sleep(self._rng.uniform(0, longest_ms) / 1000)


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _compare(key: str, version: int) -> dict[str, str]:
    return {
        "key": _encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "modRevision": str(version),
    }


def _revision(answer: dict[str, t.Any]) -> int:
    return int(answer["header"]["revision"])


def _first_kv(answer: dict[str, t.Any]) -> KeyValue:
    kvs = answer.get("kvs", [])
    return _key_value(kvs[0]) if kvs else ABSENT


def _key_value(kv: dict[str, t.Any]) -> KeyValue:
    return KeyValue(base64.b64decode(kv.get("value", "")), int(kv["mod_revision"]))
