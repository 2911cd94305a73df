"""A deployment as its settings file describes it."""

import pathlib
import typing as t

import msgspec

from fuchsiahatch_core.exceptions import SettingsError

FOLDER = pathlib.Path(__file__).parent / "layouts"
#: Entries, engines and plain upstreams that a zone may have.
MOST_OF_A_ZONE = 40

_Text = t.Annotated[str, msgspec.Meta(min_length=1)]
_Count = t.Annotated[int, msgspec.Meta(ge=0, le=MOST_OF_A_ZONE)]
_Positive = t.Annotated[int, msgspec.Meta(ge=1)]
_Amount = t.Annotated[float, msgspec.Meta(gt=0)]
_Share = t.Annotated[float, msgspec.Meta(ge=0, le=1)]
_Prefix = t.Annotated[str, msgspec.Meta(pattern="^/([^/]+/)+$")]


class Zone(msgspec.Struct, forbid_unknown_fields=True):
    """An availability zone, with how many of each kind it has."""

    name: _Text
    entries: _Count
    engines: _Count
    plain_upstreams: _Count


class Engines(msgspec.Struct, forbid_unknown_fields=True):
    """The service of the engines.

    Attributes
    ----------
    ranks : int
        Engines of one rank group.
    slots, queue : int
        Requests that an engine runs at a time, and that wait there.
    pass_ms, pass_ms_per_stream : float
        How long a pass takes, and how much longer for each stream of the fullest rank.
    first_event_ms : float
        Time until a stream's first event.
    """

    service: _Text
    ranks: _Positive
    slots: _Positive
    queue: _Positive
    pass_ms: _Amount
    pass_ms_per_stream: _Amount
    first_event_ms: _Amount
    expert_layers: _Positive
    experts: _Positive
    expert_places: _Positive
    spare_places: _Positive


class PlainUpstreams(msgspec.Struct, forbid_unknown_fields=True):
    """The service of the upstreams that give plain answers."""

    service: _Text
    slots: _Positive
    queue: _Positive


class RequestKind(msgspec.Struct, forbid_unknown_fields=True):
    """A kind of request and its route.

    Attributes
    ----------
    kind : {"stream", "safe", "unsafe"}
    share : float
        Its part of all requests, against the sum of all kinds' shares.
    work_ms : float
        Time that a plain answer takes in the mean.
    error_share : float
        Share of its requests that its upstream answers with 500.
    """

    name: _Text
    prefix: _Prefix
    service: _Text
    method: t.Literal["GET", "POST"]
    kind: t.Literal["stream", "safe", "unsafe"]
    attempts: _Positive
    objective_ms: _Positive
    time_limit_ms: _Positive
    share: _Amount
    resumable: bool = False
    request_bytes: int = 0
    events_mean: float = 0.0
    events_max: int = 0
    work_ms: float = 0.0
    error_share: _Share = 0.0


class Layout(msgspec.Struct, forbid_unknown_fields=True):
    """A deployment: its entries, upstreams, callers and kinds of request."""

    region: _Text
    zones: t.Annotated[list[Zone], msgspec.Meta(min_length=1)]
    engines: Engines
    plain_upstreams: PlainUpstreams
    kinds: t.Annotated[list[RequestKind], msgspec.Meta(min_length=1)]
    callers: _Positive
    requests_per_s: _Amount
    stop_grace_s: _Amount
    event_pause_ms: _Positive


def read_layout(name):
    """Read the settings file of a deployment.

    Parameters
    ----------
    name : str
        Name of one of this package's, or the path of another.

    Returns
    -------
    Layout

    Raises
    ------
    SettingsError
        If the file can't be read, or a field isn't allowed.
    """
    path = pathlib.Path(name) if name.endswith(".json") else FOLDER / f"{name}.json"
    try:
        layout = msgspec.json.decode(path.read_bytes(), type=Layout)
    except OSError as fault:
        known = ", ".join(sorted(one.stem for one in FOLDER.glob("*.json")))
        raise SettingsError("deployment", name, f"a file or one of {known}") from fault
    except msgspec.DecodeError as fault:
        raise SettingsError("deployment", name, str(fault)) from fault
    _check(layout)
    return layout


def _check(layout):
    services = {layout.engines.service, layout.plain_upstreams.service}
    for kind in layout.kinds:
        if kind.service not in services:
            allowed = " or ".join(sorted(services))
            raise SettingsError(f"kinds.{kind.name}.service", kind.service, allowed)
        if (kind.kind == "stream") != (kind.service == layout.engines.service):
            allowed = "streams are of the engines, all others of the plain upstreams"
            raise SettingsError(f"kinds.{kind.name}.kind", kind.kind, allowed)
    engines = sum(zone.engines for zone in layout.zones)
    if engines % layout.engines.ranks:
        allowed = "a divisor of the number of engines"
        raise SettingsError("engines.ranks", layout.engines.ranks, allowed)
    if not all(sum(getattr(zone, name) for zone in layout.zones) for name in _NEEDED):
        raise SettingsError("zones", len(layout.zones), "at least one of each kind")


_NEEDED = ("entries", "engines", "plain_upstreams")
