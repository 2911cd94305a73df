"""Room that is reserved for more urgent requests: trunk reservation by priority."""

#: Share of the room up to which the least urgent class is admitted.
LAST_CLASS_SHARE = 0.85


def admitted_share(classes: int, priority_class: int) -> float:
    """Return the share of the room up to which a request is admitted.

    Parameters
    ----------
    classes : int
        Number of priority classes of the service; nothing is reserved for a single one.
    priority_class : int
        Class of the request, 0 first.

    Notes
    -----
    The share falls evenly from the first class, which may use all room, to the last.

    .. versionadded:: 0.1
    """
    if classes < 2:
        return 1.0
    rank = min(priority_class, classes - 1)
    return 1.0 - (1.0 - LAST_CLASS_SHARE) * rank / (classes - 1)
