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
    list of (str, str)
        Ids and texts.
    """
    found = ((one, _find_fault(one, runs.get(one.request_id, ()))) for one in tries)
    return [(one.request_id, _describe(one, fault)) for one, fault in found if fault]


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
        f"{len(one.answer)} bytes, {one.ended_s - one.sent_s:.2f} s after it was sent"
    )
