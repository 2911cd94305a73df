"""What upstreams state about themselves in their answers, by incarnation."""

import dataclasses
import time
import typing as t

from fuchsiahatch_core.clock import Clock

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.upstreams import UpstreamEntry
    from fuchsiahatch_gateway.known_upstream import Upstream

#: Time for which the statements of an upstream that is no longer listed are kept:
#: longer than a registration lapses or an upstream takes to exit.
RETENTION_MS = 600_000
#: Difference between the times of day of two hosts that is allowed for.
MAX_CLOCK_SKEW_MS = 500


@dataclasses.dataclass(slots=True)
class Statements:
    """What one incarnation of an upstream has stated.

    Attributes
    ----------
    backoff_until_ms : int
        Until when it accepts no further request of this entry.
    backoff_stated_ms : int
        When an answer last named that time.
    leaving : bool
        Whether it leaves.
    leaving_stated_ms : int
        When an answer last said so.
    """

    backoff_until_ms: int = 0
    backoff_stated_ms: int = 0
    leaving: bool = False
    leaving_stated_ms: int = 0

    def forget_before(self, earliest_ms: int) -> None:
        """Forget what was stated before a time, by a former incarnation."""
        if self.backoff_stated_ms < earliest_ms:
            self.backoff_until_ms = 0
        if self.leaving_stated_ms < earliest_ms:
            self.leaving = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Unlisted:
    """The statements of an upstream without an entry, and when the entry went."""

    statements: Statements
    born_ms: int
    removed_ms: int


class StatementRecords:
    """Decides which statements hold for an upstream that returns or restarts.

    An entry may lapse while its upstream goes on running, and return. An upstream that
    restarts under its instance may have answered before its restart became known.

    Parameters
    ----------
    clock : Clock
    time_of_day : Clock, optional
        Unix time.
    """

    __slots__ = ("_clock", "_time_of_day", "_unlisted")

    def __init__(self, clock: Clock, time_of_day: Clock | None = None) -> None:
        self._clock = clock
        self._time_of_day = time_of_day or Clock(time.time_ns)
        self._unlisted: dict[str, _Unlisted] = {}

    def keep(self, upstream: "Upstream") -> None:
        """Keep the statements of an upstream whose entry was removed."""
        now_ms = self._clock.now_ms()
        self._unlisted = {
            instance: unlisted
            for instance, unlisted in self._unlisted.items()
            if now_ms - unlisted.removed_ms < RETENTION_MS
            or unlisted.statements.backoff_until_ms > now_ms
        }
        self._unlisted[upstream.entry.instance] = _Unlisted(
            upstream.statements, upstream.born_ms, now_ms
        )

    def take(self, entry: "UpstreamEntry") -> Statements:
        """Return the statements of a listed upstream, kept ones if it had any."""
        unlisted = self._unlisted.pop(entry.instance, None)
        if unlisted is None:
            return Statements()
        if unlisted.born_ms and entry.born_ms > unlisted.born_ms:
            self.note_restart(unlisted.statements, entry.born_ms)
        return unlisted.statements

    def note_restart(self, statements: Statements, born_ms: int) -> None:
        """Forget what was stated before the present incarnation started.

        Parameters
        ----------
        statements : Statements
        born_ms : int
            Unix time of that start, by the upstream's host.
        """
        age_ms = self._time_of_day.now_ms() - born_ms + MAX_CLOCK_SKEW_MS
        statements.forget_before(self._clock.now_ms() - max(age_ms, 0))
