"""Versions of a deployment's configuration, as its operator writes them."""

from fuchsiahatch_standins import platform_demo

HOST = "clinic.example"
KEY = "key-of-team-a"
#: Routes without requests that a configuration has besides.
IDLE_ROUTES = 40
#: Most by which a version exceeds the one before.
MOST_VERSION_STEP = 9
MAX_CONNECTIONS = 338
_KINDS = {"stream": "streaming", "safe": "safe", "unsafe": "unsafe"}


class Operator:
    """Writes one version of the configuration after the other.

    Parameters
    ----------
    layout : Layout
    rng : random.Random
    """

    def __init__(self, layout, rng):
        self._layout, self._rng = layout, rng
        self._version = 0
        self._idle = set(range(IDLE_ROUTES))

    def next_configuration(self):
        """Return the next version, with the same routes but a few without requests."""
        self._version += self._rng.randint(1, MOST_VERSION_STEP)
        self._idle ^= {self._rng.randrange(2 * IDLE_ROUTES) for _ in range(3)}
        layout = self._layout
        first = layout.plain_upstreams.service
        idle = [_make_idle_route(number, first) for number in sorted(self._idle)]
        return {
            "version": self._version,
            "routes": [*(_make_route(kind, layout) for kind in layout.kinds), *idle],
            "services": [
                {"name": first, "maxConnections": MAX_CONNECTIONS},
                {
                    "name": layout.engines.service,
                    "maxConnections": MAX_CONNECTIONS,
                    "engine": _make_engine(layout.engines),
                },
            ],
            "limits": {},
            "tenants": [{"name": "team-a", "apiKeys": [KEY]}],
        }


def _make_route(kind, layout):
    route = {
        "name": kind.name,
        "host": HOST,
        "prefix": kind.prefix,
        "kind": _KINDS[kind.kind],
        "timeoutMs": kind.time_limit_ms,
        "targetLatencyMs": kind.objective_ms,
        "priority": 1 if kind.kind == "stream" else 2,
        "service": kind.service,
        "maxAttempts": kind.attempts,
        "public": False,
    }
    if kind.kind == "stream":
        pause_ms = layout.event_pause_ms
        route |= {"resumeStreams": kind.resumable, "gapAimMs": pause_ms}
    return route


def _make_idle_route(number, service):
    return {
        "name": f"idle-{number}",
        "host": HOST,
        "prefix": f"/idle/{number}/",
        "kind": "safe",
        "timeoutMs": 1_000,
        "targetLatencyMs": 100,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }


def _make_engine(engines):
    return {
        **platform_demo.ENGINE,
        "slots": engines.slots,
        "sets": engines.expert_layers,
        "experts": engines.experts,
        "places": engines.expert_places,
        "spare": engines.spare_places,
    }
