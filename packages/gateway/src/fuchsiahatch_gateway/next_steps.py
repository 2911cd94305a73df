"""The decision after an attempt at an upstream, as a pure function."""

import dataclasses
import enum


class Result(enum.Enum):
    """How an attempt at an upstream ended.

    Attributes
    ----------
    UNSENT
        Nothing was sent: no connection was established, or it ended before that.
    NOT_RUN
        The upstream guarantees that it did not run the request and never will.
    ANSWERED
        A complete answer, whether a success or an error of the upstream.
    BROKEN
        No complete answer; the request may have run.
    """

    UNSENT = "unsent"
    NOT_RUN = "not run"
    ANSWERED = "answered"
    BROKEN = "broken"


class Step(enum.Enum):
    """What to do with a request after an attempt.

    Attributes
    ----------
    RELAY
        Send the upstream's answer to the caller.
    RETRY
        Send the request to another upstream.
    REFUSE
        Report to the caller that the request was not run and never will be.
    FAIL
        Report to the caller that the request may or may not have run.
    """

    RELAY = "relay"
    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """State of a caller's request after an attempt.

    Attributes
    ----------
    repeatable : bool
        Whether the request may run more than once.
    sends : int
        Attempts that reached an upstream.
    max_sends : int
    unsent : int
        Attempts in which nothing was sent.
    may_have_run : bool
        Whether any attempt so far, including this one, may have run the request.
    upstream_failed : bool
        Whether the complete answer is an error of the upstream.
    time_left : bool
        Whether enough time is left for another attempt.
    crashes : int
        Upstreams that crashed while running this request, or an earlier one with the
        same fingerprint.
    group_crashed : bool
        Whether a rank group crashed during the attempt, before any part of its answer
        was relayed.
    """

    repeatable: bool
    sends: int
    max_sends: int
    unsent: int
    may_have_run: bool
    upstream_failed: bool
    time_left: bool
    crashes: int = 0
    group_crashed: bool = False


#: Attempts in which nothing was sent, after which a request is refused.
MAX_UNSENT = 3
#: Crashes from which on a request isn't retried. A single crash may be unrelated to the
#: request.
CRASH_RETRY_LIMIT = 2


def decide(result: Result, progress: Progress) -> Step:
    """Return the step after an attempt; a `RETRY` still needs the shared budget.

    Notes
    -----
    A request that isn't repeatable goes to a second upstream only if the first one
    guarantees that it did not run it, and is refused only if no attempt may have run.

    A request that may crash its upstream isn't retried automatically: one request would
    take down a second rank group, and with it half of a service of two groups.
    """
    succeeded = result is Result.ANSWERED and not progress.upstream_failed
    if not succeeded and progress.time_left and _may_retry(result, progress):
        return Step.RETRY
    return conclude(result, progress.may_have_run)


def conclude(result: Result, may_have_run: bool) -> Step:
    """Return the last step for a request that isn't retried."""
    if result is Result.ANSWERED:
        return Step.RELAY
    return Step.FAIL if may_have_run else Step.REFUSE


def _may_retry(result: Result, progress: Progress) -> bool:
    if progress.may_have_run and not progress.repeatable:
        return False
    if result is Result.UNSENT:
        return progress.unsent < MAX_UNSENT
    if progress.group_crashed or progress.crashes >= CRASH_RETRY_LIMIT:
        return False
    return progress.sends < progress.max_sends
