"""What a rank of a group may be told, and what it says of itself."""

import enum

import msgspec

#: Experts of each rank in ascending order, by layer and rank.
Placement = tuple[tuple[tuple[int, ...], ...], ...]


class OrderKind(enum.Enum):
    """What a rank may be told.

    Attributes
    ----------
    PREPARE, ARM, DISARM, HOLD, GO
        For its engine.
    COMMIT
        For its agent, the leader's standby: the last rank is about to be armed.
    """

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    GO = "go"
    COMMIT = "commit"


class OrderResult(enum.Enum):
    """What a rank made of an order.

    Attributes
    ----------
    BEGUN
        It was taken, or its effect is there already.
    REFUSED
        It doesn't fit the rank's state; this order will never take effect.
    UNKNOWN
        No answer: it may take effect seconds from now.
    """

    BEGUN = "begun"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Armed(msgspec.Struct, frozen=True, array_like=True):
    """A map version that a rank switches to as a pass begins."""

    version: int
    step: int


class RankReport(msgspec.Struct, frozen=True, array_like=True):
    """What one rank's upstream says of itself, read on its own host.

    Attributes
    ----------
    rank, epoch : int
    term : int
        Highest term that the rank's agent has seen; it takes no order of an older one.
    open : bool
        Whether the group works.
    step : int
        The last pass that was begun.
    map_version, prepared : int
        Map in use, and the newest whose copy is complete (0: none).
    armed : Armed or None
    held : int or None
        Pass that doesn't begin until it is let go.
    experts : tuple of tuple of int, or None
        Experts that the rank holds in the map in use, by layer; None while its agent
        has not read them.
    vouched : int
        Newest version that this life of its agent saw prepared, while it has not
        agreed to its commit; 0 otherwise.
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
    """One order to one rank; `placement` goes with PREPARE only."""

    rank: int
    kind: OrderKind
    epoch: int
    version: int = 0
    step: int = 0
    placement: Placement | None = None
