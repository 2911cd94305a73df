"""Client of the key-value service, over the published etcd v3 JSON interface."""

import base64
import dataclasses
import typing as t

from fuchsiahatch_core.exceptions import AmbiguousWriteError, PlatformError

if t.TYPE_CHECKING:
    from fuchsiahatch_platform.http import HttpCaller


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
        Makes the calls.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_caller", "_url", "calls")

    def __init__(self, url: str, caller: "HttpCaller") -> None:
        self._url = url.rstrip("/")
        self._caller = caller
        self.calls = 0

    async def get(self, key: str) -> KeyValue:
        """Return the value under a key, or `ABSENT`."""
        answer = await self._post("/v3/kv/range", {"key": _encode(key)})
        return _first_kv(answer)

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
        """
        put = {"key": _encode(key), "value": base64.b64encode(value).decode()}
        if lease_id is not None:
            put["lease"] = str(lease_id)
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "modRevision": str(expected),
        }
        body = {"compare": [compare], "success": [{"requestPut": put}]}
        try:
            answer = await self._post("/v3/kv/txn", body)
        except PlatformError as fault:
            raise AmbiguousWriteError(f"write of {key}: {fault.detail}") from fault
        return bool(answer.get("succeeded", False))

    async def _post(self, path: str, body: dict[str, t.Any]) -> dict[str, t.Any]:
        self.calls += 1
        return await self._caller.call("POST", self._url + path, body)


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _first_kv(answer: dict[str, t.Any]) -> KeyValue:
    kvs = answer.get("kvs", [])
    if not kvs:
        return ABSENT
    value = base64.b64decode(kvs[0].get("value", ""))
    return KeyValue(value, int(kvs[0]["mod_revision"]))
