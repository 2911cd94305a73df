"""The demo's layout: which processes there are, with their settings files."""

import json
import pathlib
import typing as t

ZONES = ("kl-a", "kl-b", "cj-c")
REGION = "klang-valley"
ENGINE_OFFERS = ("booking-assistant@2", "brief-writer@1")
SERVICES = (
    ("hold-and-cancel@1", "kl-a"),
    ("hold-and-cancel@1", "kl-b"),
    ("map-and-readings@1", "cj-c"),
)
GYM_TEAMS = ("gym-bangsar", "gym-subang")
SKIPPER_TEAMS = ("skippers-geraldton",)

_OFFSET_HTTP = 0
_OFFSET_RPC = 100
_OFFSET_UPSTREAM = 200
_PORT_KEY_VALUE = 300
_PORT_HOST_LIST = 301


def write_layout(directory: str, base_port: int = 18_000) -> None:
    """Write the settings of every process of the demo.

    Parameters
    ----------
    directory : str
        Where the files go: ``<host>.json`` each, ``hosts.json``, ``placement.json``,
        ``roster.json``, and a record that changes a team's places, ``change.json``.
    base_port : int
        First of the loopback ports; the 400 from there on are used.
    """
    folder = pathlib.Path(directory)
    folder.mkdir(parents=True, exist_ok=True)
    all_settings = _all_settings(base_port)
    for settings in all_settings:
        _write(folder / f"{settings['host']}.json", settings)
    _write(folder / "hosts.json", list(map(list_row, all_settings)))
    _write(folder / "placement.json", _placement())
    _write(folder / "roster.json", roster_of(all_settings))
    _write(folder / "change.json", _change())


def _all_settings(base_port: int) -> list[dict[str, t.Any]]:
    entries = [("entry", f"entry-{zone}", zone, ()) for zone in ZONES]
    engines = [("agent", f"engine-{zone}", zone, ENGINE_OFFERS) for zone in ZONES]
    services = [
        ("agent", f"{offer.partition('@')[0]}-{zone}", zone, (offer,))
        for offer, zone in SERVICES
    ]
    rows = entries + engines + services
    return [_settings(base_port, number, *row) for number, row in enumerate(rows)]


def _settings(
    base_port: int,
    number: int,
    role: str,
    host: str,
    zone: str,
    offers: t.Sequence[str],
) -> dict[str, t.Any]:
    settings: dict[str, t.Any] = {
        "role": role,
        "host": host,
        "zone": zone,
        "region": REGION,
        "listen": {
            "http_address": _address(base_port + _OFFSET_HTTP + number),
            "rpc_address": _address(base_port + _OFFSET_RPC + number),
        },
        "platform": {
            "key_value_url": "http://" + _address(base_port + _PORT_KEY_VALUE),
            "host_list_url": "http://" + _address(base_port + _PORT_HOST_LIST),
        },
    }
    if offers:
        url = "http://" + _address(base_port + _OFFSET_UPSTREAM + number)
        settings["upstream"] = {"url": url, "offers": list(offers)}
    return settings


def _placement() -> dict[str, t.Any]:
    gyms = [
        _record(
            team, ("kl-a", "kl-b"), ("booking-assistant@2", "hold-and-cancel@1"), 30
        )
        for team in GYM_TEAMS
    ]
    skippers = [
        _record(team, ("cj-c",), ("brief-writer@1", "map-and-readings@1"), 40)
        for team in SKIPPER_TEAMS
    ]
    return {"revision": 1, "history": [], "records": gyms + skippers}


def _change() -> dict[str, t.Any]:
    offers = ["booking-assistant@2", "hold-and-cancel@1"]
    place = {"zone": "kl-b", "offers": offers, "share_percent": 40}
    return {"schema": 2, "team": GYM_TEAMS[1], "places": [place]}


def roster_of(all_settings: t.Iterable[dict[str, t.Any]]) -> dict[str, t.Any]:
    """Return a first roster document with every entry as a voter."""
    voters = [
        {"region": one["region"], "zone": one["zone"], "host": one["host"]}
        for one in all_settings
        if one["role"] == "entry"
    ]
    rows = [{**voter, "listed": True, "was_listed": False} for voter in voters]
    return {"revision": 1, "history": [], "records": rows}


def _record(
    team: str, zones: t.Sequence[str], offers: t.Sequence[str], share_percent: int
) -> dict[str, t.Any]:
    return {
        "schema": 1,
        "team": team,
        "zones": list(zones),
        "offers": list(offers),
        "share_percent": share_percent,
    }


def _address(port: int) -> str:
    return f"127.0.0.1:{port}"


def _write(path: pathlib.Path, document: t.Any) -> None:
    path.write_text(json.dumps(document, indent=2) + "\n", "utf-8")


def list_row(settings: dict[str, t.Any]) -> dict[str, t.Any]:
    """Return the list's row for a process with these settings."""
    ip, _, port = settings["listen"]["rpc_address"].rpartition(":")
    meta = {
        "zone": settings["zone"],
        "role": settings["role"],
        "http_address": settings["listen"]["http_address"],
        "offers": ",".join(settings.get("upstream", {}).get("offers", ())),
    }
    return {
        "Node": {"Node": settings["host"], "Datacenter": settings["region"]},
        "Service": {"Address": ip, "Port": int(port), "Meta": meta},
        "Checks": [{"Status": "passing"}],
    }
