"""Client of the key-value service, over etcd's v3 JSON API."""

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

#: Includes the first attempt.
MAX_READ_ATTEMPTS = 3
#: Maximum pause before the first retry of a read; it doubles with each retry.
BACKOFF_MS = 50
#: Pause after which a watch is reopened. A service whose host loses its power doesn't
#: close its connections, so that watches would wait on them for ever.
WATCH_IDLE_TIMEOUT_MS = 60_000

_RANGE = "/v3/kv/range"
_TRANSACT = "/v3/kv/txn"
_WATCH = "/v3/watch"
_GRANT = "/v3/lease/grant"
_KEEP_ALIVE = "/v3/lease/keepalive"
_REVOKE = "/v3/lease/revoke"

Sleep = t.Callable[[float], t.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """A value with the revision that a compare-and-swap expects.

    Attributes
    ----------
    value : bytes
    mod_revision : int
        The service's revision of the last write to the key; 0 if it is absent.
    """

    value: bytes
    mod_revision: int


ABSENT = KeyValue(b"", 0)


class KeyValueClient:
    """Client of those calls of the key-value service that fuchsiahatch uses.

    Parameters
    ----------
    url : str
        Base URL, such as ``http://127.0.0.1:2379``.
    caller : HttpCaller
        Makes the calls, each with its timeout.
    budget : CallBudget, optional
        Limits and counts the calls of the process; a new one by default.
    rng : random.Random, optional
        Source of the jitter of pauses before retries.
    sleep : callable, optional
        Waits for a number of seconds.

    Notes
    -----
    Reads are retried a few times. Writes never are: only their caller can determine
    whether the first attempt took effect.

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
        """Number of calls of all kinds made so far."""
        return self.budget.calls.total()

    async def get(self, key: str) -> KeyValue:
        """Return the value under a key, or `ABSENT`.

        Raises
        ------
        PlatformError
            When no attempt had a usable answer.
        """
        answer = await self._read("range", _RANGE, {"key": _encode(key)})
        return _first_kv(answer)

    async def get_changed(
        self, known_revisions: t.Mapping[str, int]
    ) -> dict[str, KeyValue]:
        """Return the values of some keys if any of these has another revision.

        Parameters
        ----------
        known_revisions : dict of str to int
            `KeyValue.mod_revision` by key; 0 for a key that was absent, -1 for
            one that was never read.

        Returns
        -------
        dict of str to KeyValue
            Empty when all revisions are the known ones, so that a confirmation
            costs a few hundred bytes rather than the values.

        Raises
        ------
        PlatformError
            When there was no usable answer. The call isn't retried: revisions are
            confirmed again soon anyway, and the answer to a retry would confirm no
            later time than that of the first attempt.
        """
        body = {
            "compare": [
                _mod_revision_equals(key, mod_revision)
                for key, mod_revision in known_revisions.items()
            ],
            "failure": [
                {"requestRange": {"key": _encode(key)}} for key in known_revisions
            ],
        }
        answer = await self._call("confirm", _TRANSACT, body)
        if answer.get("succeeded", False):
            return {}
        responses = (response["responseRange"] for response in answer["responses"])
        return dict(zip(known_revisions, map(_first_kv, responses), strict=True))

    async def create(self, key: str, value: bytes, lease_id: int | None = None) -> bool:
        """Write a value if its key is absent; see `swap`."""
        return await self.swap(key, value, 0, lease_id)

    async def swap(
        self, key: str, value: bytes, expected: int, lease_id: int | None = None
    ) -> bool:
        """Write a value if the key's revision is still the expected one.

        Parameters
        ----------
        key : str
        value : bytes
        expected : int
            `KeyValue.mod_revision` as read; 0 creates the key if it is absent.
        lease_id : int, optional
            Lease with which the key expires.

        Returns
        -------
        bool
            Whether the write took effect.

        Raises
        ------
        AmbiguousWriteError
            When the answer was lost and the write may have taken effect.
        UnsentError
            When the write didn't reach the service.
        """
        put = {"key": _encode(key), "value": base64.b64encode(value).decode()}
        if lease_id is not None:
            put["lease"] = str(lease_id)
        body = {
            "compare": [_mod_revision_equals(key, expected)],
            "success": [{"requestPut": put}],
        }
        answer = await self._write("swap", _TRANSACT, body)
        return bool(answer.get("succeeded", False))

    async def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its id.

        Parameters
        ----------
        ttl_ms : int
            Duration of the lease without a keep-alive, rounded up to seconds.

        Raises
        ------
        AmbiguousWriteError
            When the answer was lost; a lease that was created expires by itself.
        UnsentError
            When the call didn't reach the service.
        """
        answer = await self._write("grant", _GRANT, {"TTL": str(-(-ttl_ms // 1000))})
        return int(answer["ID"])

    async def keep_alive(self, lease_id: int) -> int:
        """Renew a lease and return its remaining time in ms; 0 if it has ended."""
        answer = await self._write("keep-alive", _KEEP_ALIVE, {"ID": str(lease_id)})
        return int(answer["result"].get("TTL", 0)) * 1000

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease, which removes its keys."""
        await self._write("revoke", _REVOKE, {"ID": str(lease_id)})

    async def watch(self, key: str) -> t.AsyncIterator[KeyValue]:
        """Yield a key's value now and after each write, for ever.

        Yields
        ------
        KeyValue
            `ABSENT`'s value after a delete. A value may be yielded twice, and values
            may be skipped, but not the latest one when the watch reaches it.

        Raises
        ------
        PlatformError
            When the service doesn't answer; watch again after a pause.
        """
        while True:
            # The first read, and each read after a compaction, returns the revision
            # from which the watch continues, so that no write is missed between.
            answer = await self._read("range", _RANGE, {"key": _encode(key)})
            yield _first_kv(answer)
            start = _revision(answer) + 1
            # A generator that isn't exhausted is closed late; until then, its watch
            # would count at the service.
            async with contextlib.aclosing(self._watch_from(key, start)) as values:
                async for value in values:
                    yield value

    async def _watch_from(self, key: str, start: int) -> t.AsyncIterator[KeyValue]:
        """Yield the changes from a revision on, until it is compacted."""
        while True:
            results = self._open_watch(key, start)
            async with contextlib.aclosing(results):
                async for result in results:
                    if int(result.get("compact_revision", 0)):
                        return
                    for event in result.get("events", []):
                        start = int(event["kv"]["mod_revision"]) + 1
                        yield _key_value(event["kv"])
            # The stream was cut off. Continuing at the next revision, rather than
            # at the service's current one, leaves no gap.
            await self._pause(1)

    async def _open_watch(self, key: str, start: int) -> t.AsyncIterator[t.Any]:
        """Yield the results of a watch until its connection ends."""
        request = {"key": _encode(key), "start_revision": str(start)}
        lines = self._caller.lines(
            "POST",
            self._url + _WATCH,
            {"create_request": request},
            WATCH_IDLE_TIMEOUT_MS,
        )
        with self.budget.waiting_watch():
            async with contextlib.aclosing(lines):
                async for line in lines:
                    yield line["result"]

    async def _read(self, kind: str, path: str, body: dict[str, t.Any]) -> t.Any:
        for attempt in range(1, MAX_READ_ATTEMPTS):
            try:
                return await self._call(kind, path, body)
            except PlatformError:
                await self._pause(attempt)
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

    async def _pause(self, attempt: int) -> None:
        max_pause_ms = BACKOFF_MS * 2 ** (attempt - 1)
        await self._sleep(self._rng.uniform(0, max_pause_ms) / 1000)


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _mod_revision_equals(key: str, mod_revision: int) -> dict[str, str]:
    return {
        "key": _encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "modRevision": str(mod_revision),
    }


def _revision(answer: dict[str, t.Any]) -> int:
    return int(answer["header"]["revision"])


def _first_kv(answer: dict[str, t.Any]) -> KeyValue:
    kvs = answer.get("kvs", [])
    return _key_value(kvs[0]) if kvs else ABSENT


def _key_value(kv: dict[str, t.Any]) -> KeyValue:
    return KeyValue(base64.b64decode(kv.get("value", "")), int(kv["mod_revision"]))
