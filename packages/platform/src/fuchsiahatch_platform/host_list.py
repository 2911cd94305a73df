"""Client of the host list, over Consul's health API."""

import dataclasses
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_platform.http import HttpCaller

_SERVICE = "fuchsiahatch"
_PASSING = "passing"


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """A host in the host list, which may be stale.

    Attributes
    ----------
    host, zone, region : str
        Name, availability zone and region.
    role : str
        ``entry`` or ``agent``.
    rpc_address, http_address : str
        ``ip:port`` of the load balancer process on the host.
    offers : tuple of str
        ``name@version`` of each offer of its upstream; empty for an entry.
    leaving : bool
        Whether any of its health checks isn't passing.
    """

    host: str
    zone: str
    region: str
    role: str
    rpc_address: str
    http_address: str
    offers: tuple[str, ...]
    leaving: bool


class HostListClient:
    """Reads the host list.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_caller", "_url")

    def __init__(self, url: str, caller: "HttpCaller") -> None:
        self._url = url.rstrip("/")
        self._caller = caller

    async def read(self) -> list[ListedHost]:
        """Return all hosts in the list.

        Raises
        ------
        PlatformError
            When the list can't be read.
        """
        answer = await self._caller.call(
            "GET", f"{self._url}/v1/health/service/{_SERVICE}"
        )
        return list(map(_listed_host, answer))


def _listed_host(row: dict[str, t.Any]) -> ListedHost:
    service = row["Service"]
    meta = service["Meta"]
    passing = all(check["Status"] == _PASSING for check in row["Checks"])
    return ListedHost(
        host=row["Node"]["Node"],
        zone=meta["zone"],
        region=row["Node"]["Datacenter"],
        role=meta["role"],
        rpc_address=f"{service['Address']}:{service['Port']}",
        http_address=meta["http_address"],
        offers=tuple(filter(None, meta.get("offers", "").split(","))),
        leaving=not passing,
    )
