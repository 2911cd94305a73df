"""Room that is reserved for more urgent requests: trunk reservation by priority."""

import bisect
import typing as t

#: Share of the room up to which each class is admitted, the most urgent one first. The
#: last holds for all further classes.
CLASS_SHARES = (1.0, 0.92, 0.85)


def admitted_share(urgencies: t.Sequence[int], urgency: int) -> float:
    """Return the share of the room up to which a request is admitted.

    Parameters
    ----------
    urgencies : sequence of int
        Priorities of the service's routes, ascending and distinct. With fewer than two
        of them nothing is reserved.
    urgency : int
        Priority of the request, 0 first. A team may state one that no route has; it
        counts as the first class that is no more urgent.

    Notes
    -----
    .. versionadded:: 0.1
    """
    if len(urgencies) < 2:
        return CLASS_SHARES[0]
    position = bisect.bisect_left(urgencies, urgency)
    return CLASS_SHARES[min(position, len(CLASS_SHARES) - 1)]
