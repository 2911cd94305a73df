"""What to do after a try at an upstream, as a pure function."""

import dataclasses
import enum


class Result(enum.Enum):
    """How a try at an upstream ended.

    Attributes
    ----------
    UNSENT
        No connection came about.
    NOT_RUN
        The upstream promised that it did not run the request and never will.
    ANSWERED
        A whole answer, be it a success or the upstream's own failure.
    BROKEN
        No whole answer: the request may have run.
    """

    UNSENT = "unsent"
    NOT_RUN = "not run"
    ANSWERED = "answered"
    BROKEN = "broken"


class Step(enum.Enum):
    """What to do next.

    Attributes
    ----------
    RELAY
        Hand the upstream's answer to the caller.
    RETRY
        Send the request to another upstream.
    REFUSE
        Tell the caller that the request was not run and never will be.
    FAIL
        Tell the caller that nothing is known of the request.
    """

    RELAY = "relay"
    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Where one caller's request is after a try.

    Attributes
    ----------
    repeatable : bool
        Whether it may run more than once.
    sends : int
        Upstreams that it was sent to.
    max_sends : int
    unsent : int
        Tries for which no connection came about.
    may_have_run : bool
        Whether any try so far may have run, this one included.
    upstream_failed : bool
        Whether the whole answer is a failure of the upstream's own.
    time_left : bool
        Whether another try could still be answered.
    crashes : int
        Upstreams that have crashed under this request, or under the same one before.
    group_crashed : bool
        Whether the try took down a rank group before anything of its answer came.
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


#: Tries without a connection before a request is refused.
MAX_UNSENT = 3
#: Crashes behind which a request is sent no second time for one caller: one may be an
#: upstream's own fault.
CRASH_RETRY_LIMIT = 2


def decide(result: Result, progress: Progress) -> Step:
    """Return what to do after a try; a `RETRY` still needs the shared budget.

    Notes
    -----
    A request that isn't repeatable goes to a second upstream only after a promise that
    the first did not run it, and is refused only when no try may have run.

    One that may crash whoever runs it isn't sent on by itself: a second rank group
    would be lost for the caller's one request, half of a service of two groups.
    """
    succeeded = result is Result.ANSWERED and not progress.upstream_failed
    if not succeeded and progress.time_left and _may_retry(result, progress):
        return Step.RETRY
    return conclude(result, progress.may_have_run)


def conclude(result: Result, may_have_run: bool) -> Step:
    """Return how a request ends that is not sent again."""
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
