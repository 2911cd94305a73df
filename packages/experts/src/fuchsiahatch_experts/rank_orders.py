"""Orders to a rank of a group, and the rank's reports."""

import enum

import msgspec

#: Experts of each rank in ascending order, by layer and rank.
Placement = tuple[tuple[tuple[int, ...], ...], ...]


class OrderKind(enum.Enum):
    """Kind of an order to a rank.

    Attributes
    ----------
    PREPARE, ARM, DISARM, HOLD, GO
        Executed by the rank's engine.
    COMMIT
        Executed by the agent of the leader's standby: the last rank is about to be
        armed.
    """

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    GO = "go"
    COMMIT = "commit"


class OrderResult(enum.Enum):
    """Result of an order.

    Attributes
    ----------
    BEGUN
        The order was accepted, or its effect is already in place.
    REFUSED
        The order doesn't fit the rank's state and will never take effect.
    UNKNOWN
        No answer arrived; the order may take effect seconds later.
    """

    BEGUN = "begun"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Armed(msgspec.Struct, frozen=True, array_like=True):
    """A map version that a rank switches to when a given pass begins."""

    version: int
    step: int


class RankReport(msgspec.Struct, frozen=True, array_like=True):
    """State of one rank's upstream, read on the rank's host.

    Attributes
    ----------
    rank, epoch : int
    term : int
        Highest term that the rank's agent has seen; it refuses orders of older terms.
    open : bool
        Whether the group is working.
    step : int
        The last pass that began.
    map_version, prepared : int
        Version of the map in use, and the newest whose copy is complete (0: none).
    armed : Armed or None
    held : int or None
        Pass that doesn't begin until it is released.
    experts : tuple of tuple of int, or None
        Experts that the rank holds in the map in use, by layer; None while its agent
        has not read them.
    uncommitted_version : int
        Newest version that this incarnation of the agent saw prepared, as long as it
        has not accepted the version's commit; 0 otherwise.
    """

    rank: int
    epoch: int
    term: int
    open: bool
    step: int
    map_version: int
    prepared: int
    armed: Armed | None
    held: int | None
    experts: tuple[tuple[int, ...], ...] | None = None
    uncommitted_version: int = 0


class Order(msgspec.Struct, frozen=True, array_like=True):
    """One order to one rank; `placement` is set for PREPARE only."""

    rank: int
    kind: OrderKind
    epoch: int
    version: int = 0
    step: int = 0
    placement: Placement | None = None
