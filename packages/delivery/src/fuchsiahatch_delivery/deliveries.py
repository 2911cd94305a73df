"""Delivery of a request by an entry, as generators of calls to homes."""

import enum
import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.defaults import RETRY_AFTER_MS
from fuchsiahatch_core.identities import Home
from fuchsiahatch_delivery.home_calls import (
    DONE,
    Answered,
    Delivery,
    HomeCall,
    HopFailed,
    Operation,
    Outcome,
    Refused,
    Reply,
    Standing,
    VerdictReply,
)
from fuchsiahatch_delivery.verdicts import Verdict

_MAX_RUNS_AT_HOME = 2
_MAX_HOMES_WITHOUT_KEY = 3
_ENDED = (Verdict.RUNNING, Verdict.DONE)
_HOME_UNREACHABLE = Outcome(
    Verdict.UNKNOWN,
    Code.HOME_GONE,
    "the key's home is gone, and this try was not sent; if it was the first, take a"
    " new ticket, else whether the key ran is not known",
    RETRY_AFTER_MS,
)
_HOME_LOST = Outcome(
    Verdict.UNKNOWN,
    Code.UNKNOWN,
    "the key's home was lost while it was asked; whether it ran is not known",
    RETRY_AFTER_MS,
)
#: Refusals after which the key is fenced at the home and sent to the next one.
_FENCING_CODES = frozenset(
    (Code.LEAVING, Code.FENCED, Code.NO_ALLOWED_PLACE, Code.NO_LIVE_UPSTREAM)
)


class _Lost(enum.Enum):
    """How a home is lost: before or after this delivery sent it the request."""

    UNSENT = "unsent"
    SENT = "sent"


def deliver_keyed(
    order: t.Sequence[Home], standing_of: t.Callable[[Home], Standing]
) -> Delivery:
    """Deliver a keyed request to the homes of its key, in order.

    Parameters
    ----------
    order : sequence of Home
        In the key's rendezvous order, which is the same for every retry.
    standing_of : callable
        How the entry sees a home at that moment.

    Yields
    ------
    HomeCall
        To be answered with a `Reply`.

    Returns
    -------
    Outcome
    """
    for number, home in enumerate(order):
        end = yield from _try_home(home, standing_of(home))
        if end is _Lost.UNSENT:
            return (yield from _find_at_rest(order[number + 1 :], _HOME_UNREACHABLE))
        if end is _Lost.SENT:
            return (yield from _find_at_rest(order[number + 1 :], _HOME_LOST))
        if isinstance(end, Outcome):
            return end
    detail = "every home of the key is leaving and has fenced it; take a new ticket"
    return Outcome(
        Verdict.NOT_RUN, Code.LEAVING, detail, RETRY_AFTER_MS, whole_key=True
    )


def deliver_without_key(
    choose: t.Callable[[frozenset[str]], Home | None],
    spend: t.Callable[[Outcome | None], None],
    idempotent: bool,
) -> Delivery:
    """Deliver a request without a key to one upstream after another.

    Parameters
    ----------
    choose : callable
        Returns a home on none of the given hosts, or None when none is left.
    spend : callable
        Charges an attempt to the retry budget, given the previous one's outcome or
        None; raises when the budget is spent.
    idempotent : bool
        Whether the request may run more than once.

    Yields
    ------
    HomeCall

    Returns
    -------
    Outcome
    """
    tried: set[str] = set()
    outcome = Outcome(
        Verdict.NOT_RUN, Code.OVERLOADED, "every candidate has refused", RETRY_AFTER_MS
    )
    while len(tried) < _MAX_HOMES_WITHOUT_KEY:
        home = choose(frozenset(tried))
        if home is None:
            break
        spend(outcome if tried else None)
        tried.add(home.host)
        end = yield from _try_once(home, idempotent)
        if end.verdict is Verdict.DONE or not _may_try_next(end, idempotent):
            return end
        outcome = end
    return outcome


def _try_home(
    home: Home, standing: Standing
) -> t.Generator[HomeCall, Reply, "Outcome | _Lost | None"]:
    """Return an outcome, or how the home is lost, or None to try the next home."""
    if standing is Standing.UNREACHABLE:
        return _Lost.UNSENT
    if standing is Standing.LEAVING:
        return (yield from _fence(home))
    for _ in range(_MAX_RUNS_AT_HOME):
        reply = yield HomeCall(Operation.RUN, home)
        if isinstance(reply, HopFailed) and not reply.first_byte_sent:
            reply = yield HomeCall(Operation.RESOLVE, home)
            if isinstance(reply, HopFailed):
                return _Lost.SENT
        if isinstance(reply, VerdictReply) and reply.verdict in _ENDED:
            return (yield from _find(home))
        if isinstance(reply, Refused) and reply.code is Code.WRONG_HOME:
            return _Lost.UNSENT
        if isinstance(reply, Refused) and reply.code in _FENCING_CODES:
            return (yield from _fence(home))
        if not _is_not_run(reply):
            break
    return _outcome_of(reply)


def _fence(home: Home) -> t.Generator[HomeCall, Reply, "Outcome | _Lost | None"]:
    # Without the home's confirmation, a delayed order of an earlier attempt could
    # run the key here while the next home runs it too.
    reply = yield HomeCall(Operation.FENCE, home)
    if isinstance(reply, VerdictReply) and reply.verdict is Verdict.NOT_RUN:
        return None
    if isinstance(reply, VerdictReply) and reply.verdict in _ENDED:
        return (yield from _find(home))
    if isinstance(reply, HopFailed) or getattr(reply, "code", None) is Code.WRONG_HOME:
        return _Lost.UNSENT
    return _outcome_of(reply)


def _find(home: Home) -> t.Generator[HomeCall, Reply, Outcome]:
    reply = yield HomeCall(Operation.FIND, home)
    if isinstance(reply, Refused) and reply.code is Code.NOT_FOUND:
        return _unknown("the key's answer is no longer at its home")
    return _outcome_of(reply)


def _find_at_rest(rest: t.Sequence[Home], outcome: Outcome) -> Delivery:
    # A home that has died has lost its ledger, so whether it ran the key is not
    # known. An earlier attempt may have found it leaving, fenced the key there and
    # gone on to the next home, so the rest are asked; but running the key there
    # could be the second run.
    for home in rest:
        reply = yield HomeCall(Operation.FIND, home)
        if isinstance(reply, Answered):
            return DONE
        if isinstance(reply, HopFailed) and reply.first_byte_sent:
            return _outcome_of(reply)
        if isinstance(reply, Refused) and reply.code is Code.KEY_REUSED:
            return _outcome_of(reply)
    return outcome


def _try_once(home: Home, idempotent: bool) -> Delivery:
    reply = yield HomeCall(Operation.RUN, home)
    broken = isinstance(reply, HopFailed) and not reply.first_byte_sent
    if not broken or idempotent:
        return _outcome_of(reply)
    reply = yield HomeCall(Operation.RESOLVE, home)
    if isinstance(reply, VerdictReply) and reply.verdict in _ENDED:
        return (yield from _find(home))
    return _outcome_of(reply)


def _may_try_next(outcome: Outcome, idempotent: bool) -> bool:
    if outcome.code is Code.TRUNCATED:
        return False
    if outcome.verdict is Verdict.NOT_RUN:
        return int(outcome.code) >= Code.NO_ALLOWED_PLACE
    return idempotent


def _is_not_run(reply: Reply) -> bool:
    if isinstance(reply, VerdictReply):
        return reply.verdict is Verdict.NOT_RUN
    return isinstance(reply, Refused) and reply.code is Code.NOT_RUN


def _outcome_of(reply: Reply) -> Outcome:
    if isinstance(reply, Answered):
        return DONE
    if isinstance(reply, HopFailed) and reply.first_byte_sent:
        return Outcome(Verdict.UNKNOWN, Code.TRUNCATED, reply.detail, RETRY_AFTER_MS)
    if isinstance(reply, Refused):
        return _outcome_of_refusal(reply)
    if isinstance(reply, VerdictReply) and reply.verdict is Verdict.NOT_RUN:
        detail = "the home was asked again and again, and ran nothing"
        return Outcome(Verdict.NOT_RUN, Code.NOT_RUN, detail, RETRY_AFTER_MS)
    return _unknown("the hop to the upstream broke; whether it ran is not known")


def _outcome_of_refusal(reply: Refused) -> Outcome:
    if reply.first_byte_sent:
        return Outcome(Verdict.UNKNOWN, Code.TRUNCATED, reply.detail, RETRY_AFTER_MS)
    verdict = reply.verdict if reply.verdict is Verdict.NOT_RUN else Verdict.UNKNOWN
    return Outcome(verdict, reply.code, reply.detail, reply.retry_after_ms)


def _unknown(detail: str) -> Outcome:
    return Outcome(Verdict.UNKNOWN, Code.UNKNOWN, detail, RETRY_AFTER_MS)
