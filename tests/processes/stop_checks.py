"""What must hold around stops, by what callers and upstreams have seen."""

from tests.processes.stop_upstreams import expected_body

#: Requests under these prefixes may run more than once.
REPEATABLE = ("/safe/", "/chat/")


def find_faults(tries, runs):
    """Return what went wrong with requests at sound upstreams, a line each.

    Parameters
    ----------
    tries : iterable of Try
        Sendings with ids of their own, all over.
    runs : mapping of str to list of Run
        Runs at upstreams by request id.

    Returns
    -------
    list of (Try, str)
    """
    found = ((one, _find_fault(one, runs.get(one.request_id, ()))) for one in tries)
    return [(one, _describe(one, fault)) for one, fault in found if fault]


def _find_fault(one, runs):
    if len(runs) > 1 and not one.target.startswith(REPEATABLE):
        return f"ran {len(runs)} times"
    if not one.whole:
        return _find_fault_of_cut(one, runs)
    if one.refused:
        return "is said not to have run, and ran" if runs else None
    if one.status != 200:
        return f"got {one.status} from sound upstreams"
    if not runs:
        return "got an answer of no run"
    if one.answer != expected_body(one.target, one.body):
        return "got a part of an answer that looks whole"
    return None


def _find_fault_of_cut(one, runs):
    if runs:
        state = "had answered whole" if runs[-1].whole else "was answering"
        return f"was cut when its upstream {state}"
    return "got a part of a refusal" if one.status else None


def _describe(one, fault):
    return (
        f"{one.request_id} {one.target} at {one.ip} {fault}: status {one.status}, "
        f"{len(one.answer)} bytes, sent at {one.sent_s:.3f}, ended at {one.ended_s:.3f}"
    )


def find_stop_faults(stops, grace_s):
    """Return the stops whose process didn't end by itself within the grace."""
    return [
        (one, f"{one.ip} ended with {one.code} after {one.ended_s - one.began_s:.2f} s")
        for one in stops
        if one.code != 0 or one.ended_s - one.began_s > grace_s
    ]


def find_caller_faults(requests, stops):
    """Return requests that weren't served with one further try for each stop.

    Parameters
    ----------
    requests : iterable of list of Try
        The sendings of each request, all over.
    stops : list of Stop
    """
    found = ((tries, _find_caller_fault(tries, stops)) for tries in requests)
    return [(tries[-1], f"{_tell(tries)}: {fault}") for tries, fault in found if fault]


def _find_caller_fault(tries, stops):
    failed = [_find_stop(one, stops) for one in tries if one.may_retry]
    if None in failed:
        return "a try failed without a stop"
    if len(set(map(id, failed))) < len(failed):
        return "two tries failed by one stop"
    return "wasn't served" if tries[-1].may_retry else None


def _tell(tries):
    return ", ".join(
        f"{one.request_id} at {one.ip} from {one.sent_s:.3f} to {one.ended_s:.3f} "
        f"{one.status or 'unread'}"
        for one in tries
    )


def _find_stop(one, stops):
    """Return the stop during which a try failed."""
    during = (
        stop
        for stop in stops
        if stop.ip == one.ip
        and stop.began_s <= one.ended_s
        and one.sent_s <= stop.back_s
    )
    return next(during, None)
