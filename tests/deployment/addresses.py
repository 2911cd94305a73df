"""Addresses and names of a deployment's processes, all on loopback."""

import dataclasses

#: Ports of the entries, the same at each address.
FRONT_PORT, READY_PORT, DIRECTORY_PORT = 18_237, 18_230, 18_234
INTERNAL_PORTS = (17_360, 17_375)
#: Last parts of the first addresses of each kind.
_FIRST_ENTRY, _FIRST_ENGINE, _FIRST_PLAIN = 11, 101, 201
#: Networks that runs use in turn, as an address may be held shortly behind a run.
_FIRST_NETWORK, _NETWORKS = 20, 200


@dataclasses.dataclass(frozen=True)
class Place:
    """A process or upstream of the deployment.

    Attributes
    ----------
    name, zone, ip : str
    """

    name: str
    zone: str
    ip: str


class Places:
    """All entries, engines and plain upstreams of a deployment.

    Parameters
    ----------
    layout : Layout
    network : int
        Number of the run's network.

    Attributes
    ----------
    entries, engines, plain_upstreams : list of Place
    """

    def __init__(self, layout, network):
        self._network = f"127.0.{_FIRST_NETWORK + network % _NETWORKS}"
        zones = layout.zones
        self.entries = self._place("entry", zones, "entries", _FIRST_ENTRY)
        self.engines = self._place("engine", zones, "engines", _FIRST_ENGINE)
        self.plain_upstreams = self._place(
            "plain", zones, "plain_upstreams", _FIRST_PLAIN
        )

    def _place(self, kind, zones, count, first):
        rows = [
            (f"{kind}-{zone.name}-{number + 1}", zone.name)
            for zone in zones
            for number in range(getattr(zone, count))
        ]
        return [
            Place(name, zone, f"{self._network}.{first + at}")
            for at, (name, zone) in enumerate(rows)
        ]
