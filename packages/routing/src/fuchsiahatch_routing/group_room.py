"""Room of a rank group: requests with which its passes meet the pause objective."""

import dataclasses
import math
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_routing.pass_model import PassModel

#: Share of the pause objective that the expected pass may take. The rest is for the
#: reading of prompts and for requests that other entries send at the same time.
OBJECTIVE_SHARE = 0.9
#: Least room, as a share of the slots: a group that is slow for another reason than its
#: requests must not be closed by its estimate.
MIN_SLOTS_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RoomFigures:
    """Figures of a service that decide the room of its rank groups.

    Attributes
    ----------
    model : PassModel
    slots : int
        Of each rank.
    objective_ms : int
        Shortest pause objective of the service's routes.

    Notes
    -----
    .. versionadded:: 0.1
    """

    model: "PassModel"
    slots: int
    objective_ms: int

    def room_per_rank(self, imbalance: float) -> float:
        """Return the requests per rank that a group may have."""
        allowed_ms = OBJECTIVE_SHARE * self.objective_ms
        fitting = self.model.max_running(allowed_ms, imbalance)
        return min(max(fitting, MIN_SLOTS_SHARE * self.slots), float(self.slots))


@dataclasses.dataclass(slots=True)
class GroupLoad:
    """Load of the ranks of a group whose load is known.

    Attributes
    ----------
    ranks : int
    requests : int
        Running and queued on all these ranks.
    running : int
        Those that fit their slots.
    capacity : float
        Requests that these ranks can have: the slots of those that get new requests,
        and the present requests of the others.
    silent : int
        Further ranks, whose load isn't known.
    measured : int
        Ranks that state the time of a pass.
    passes_ms : float
        Sum of these times.
    """

    ranks: int = 0
    requests: int = 0
    running: int = 0
    capacity: float = math.inf
    silent: int = 0
    measured: int = 0
    passes_ms: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether the load of most ranks is known, so that a limit may be applied."""
        return self.ranks > self.silent

    @property
    def pass_ms(self) -> float:
        """Time of a pass; 0 if unknown.

        All ranks run the same passes, but each counts them over windows of its own, in
        which there are two or three of them. The mean of all is exact to some percent.
        """
        return self.passes_ms / self.measured if self.measured else 0.0


def free_room(load: GroupLoad, room_per_rank: float, share: float) -> float:
    """Return how many further requests a group may get.

    Where some ranks get no new requests, as in a drained zone, the others may have
    fewer slots than the group has room, and a share of the capacity is open. With a
    third of the ranks drained, the load never reaches 0.85 of the room, and nothing
    would be reserved.

    Parameters
    ----------
    load : GroupLoad
    room_per_rank : float
    share : float
        Share of the room that is open to the class of the requests.

    Notes
    -----
    At least one request may run: a group of one rank with one slot would otherwise
    never serve a class whose share is below 1.

    .. versionadded:: 0.1
    """
    room = min(room_per_rank * load.ranks, load.capacity)
    return max(1.0, share * room) - load.requests
