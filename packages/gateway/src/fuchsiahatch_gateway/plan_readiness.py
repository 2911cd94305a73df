"""Logs what a leader lacks to plan changes of its group's map, if that lasts."""

import enum

from fuchsiahatch_core.events import Event, log_event

#: Time for which something is lacking before it is logged. It is longer than a change
#: of the map takes, during which nothing else is planned.
LACK_LOG_DELAY_MS = 1_000
LACK_LOG_INTERVAL_MS = 2_000


class Lack(enum.Enum):
    """What a leader needs before it can plan.

    Attributes
    ----------
    ENGINE
        The figures of the group's engines.
    CHOICES
        Expert choices, as the ranks' agents report them.
    SETTLED_MAP
        An open group with a known map and no change in progress.
    """

    ENGINE = "figures of the engines"
    CHOICES = "choices of experts"
    SETTLED_MAP = "settled map"


class PlanReadiness:
    """Tracks what a leader lacks, and since when.

    Parameters
    ----------
    group : str
    """

    __slots__ = ("_group", "_lack", "_logged_ms", "_since_ms")

    def __init__(self, group: str) -> None:
        self._group = group
        self._lack: Lack | None = None
        self._since_ms = 0
        self._logged_ms: int | None = None

    def note(self, lack: Lack | None, now_ms: int) -> None:
        """Record what is lacking now; None if a plan could be made.

        Without a log line, a leader that can plan nothing for the rest of its term
        looks like one whose map needs no change.
        """
        if lack is not self._lack:
            self._lack, self._since_ms = lack, now_ms
            self._logged_ms = None
        if lack is None or now_ms - self._since_ms < LACK_LOG_DELAY_MS:
            return
        if self._logged_ms is None or now_ms - self._logged_ms >= LACK_LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            log_event(
                Event.PLANS_LACK,
                group=self._group,
                lack=lack.value,
                lacking_ms=now_ms - self._since_ms,
            )
