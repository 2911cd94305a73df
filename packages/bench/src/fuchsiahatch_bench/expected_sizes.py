"""The size that the project is designed for, and what control may cost there."""

import dataclasses

_S_PER_DAY = 86_400


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedSize:
    """The size of letter 1.

    Attributes
    ----------
    entries, upstreams, teams, models, ranks, regions, zones : int
    requests_per_s, tokens_per_s : int
        At the peak.
    token_gap_ms : int
        Time between tokens of one stream.
    changes_per_day : int
        Changes of configuration.
    in_force_ms : int
        Time in which a change is in force everywhere.
    failures_per_day, replacements_per_day : int
        Hosts that fail, and that are restarted or replaced.
    """

    entries: int = 330
    upstreams: int = 5_600
    teams: int = 3_600
    models: int = 14
    ranks: int = 64
    regions: int = 4
    zones: int = 11
    requests_per_s: int = 4_900
    tokens_per_s: int = 2_300_000
    token_gap_ms: int = 37
    changes_per_day: int = 21_000
    in_force_ms: int = 16_000
    failures_per_day: int = 64
    replacements_per_day: int = 1_500

    @property
    def hosts(self) -> int:
        """Return how many hosts the list names."""
        return self.entries + self.upstreams

    @property
    def changes_per_s(self) -> float:
        """Return the mean rate of changes."""
        return self.changes_per_day / _S_PER_DAY

    @property
    def host_changes_per_s(self) -> float:
        """Return the mean rate of rows that leave or join the host list."""
        return 2 * (self.failures_per_day + self.replacements_per_day) / _S_PER_DAY

    @property
    def open_requests(self) -> float:
        """Return how many answers are being streamed at the peak."""
        return self.tokens_per_s * self.token_gap_ms / 1_000

    @property
    def tokens_per_request(self) -> float:
        """Return the mean length of an answer."""
        return self.tokens_per_s / self.requests_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class ControlBudget:
    """What a node may spend on control."""

    cpu_ms_per_s: float = 20.0
    memory_bytes: float = 256e6
    wire_bytes_per_s: float = 3_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceBudget:
    """What the key-value service takes, all nodes together."""

    reads_per_s: float = 2_000.0
    writes_per_s: float = 300.0
    value_bytes: float = 1e6


SIZE = ExpectedSize()
CONTROL = ControlBudget()
SERVICE = ServiceBudget()
