import asyncio
import contextlib
import os
import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, find, given, settings
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample
from twisted.internet import error, protocol
from twisted.python.failure import Failure

from fuchsiahatch_gateway import attempts, delivery, next_steps
from fuchsiahatch_gateway.error_answers import ErrorAnswers
from fuchsiahatch_gateway.event_stream import EventSplitter
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_http1.client import ClientConnection
from fuchsiahatch_http1.pool import ConnectionPool
from tests.gateway.delivery_model import (
    PATHS,
    Ask,
    Scenario,
    SimulatedExchange,
    find_faults,
)
from tests.gateway.played_upstreams import Act, Repeat

#: Scenarios per run of the tests, and those in which a disabled guard must be detected.
EXAMPLES = int(os.environ.get("DELIVERY_EXAMPLES", "400"))
GUARD_EXAMPLES = 1_500

_TIMES_MS = st.sampled_from((0, 1, 2, 5, 6, 10, 40, 150, 400, 700))
_ASKS = st.builds(
    Ask,
    st.sampled_from(PATHS),
    _TIMES_MS,
    st.sampled_from((None, None, None, 1, 5, 20, 300)),
)
_ACTS = st.tuples(st.sampled_from(Act), st.sampled_from((0, 1, 5, 30, 200, 650)))
SCENARIOS = st.builds(
    Scenario,
    st.lists(_ASKS, min_size=1, max_size=5).map(tuple),
    st.lists(_ACTS, max_size=8).map(tuple),
    st.integers(1, 3),
    st.integers(1, 2),
    st.lists(st.tuples(st.integers(0, 2), _TIMES_MS), max_size=2).map(tuple),
    st.sampled_from((90.0, 2.0, 0.0)),
)
_REPEATS = st.builds(
    Repeat,
    st.sampled_from((0, 1, 1, 1, 2, 3)),
    st.sampled_from((0, 0, 1, 5, 8, 38)),
    st.sampled_from((True, True, False)),
)
_REPEATED_ACTS = (Act.REFUSE, Act.REFUSE, Act.FAIL, Act.ANSWER, Act.HANG)
#: Scenarios in which whole answers are sent again later, on their connections.
REPEATING_SCENARIOS = st.builds(
    Scenario,
    st.lists(_ASKS, min_size=1, max_size=4).map(tuple),
    st.lists(
        st.tuples(st.sampled_from(_REPEATED_ACTS), st.sampled_from((0, 1, 5, 30))),
        min_size=2,
        max_size=8,
    ).map(tuple),
    st.integers(1, 2),
    st.integers(1, 2),
    repeats=st.lists(_REPEATS, min_size=1, max_size=4).map(tuple),
)


#: A connect is in progress when the upstream begins to leave. Too rare to be generated
#: in a run of the tests.
LEFT_DURING_CONNECT = Scenario(
    asks=(Ask("/safe/", 0),) + (Ask("/safe/", 1),) * 3,
    acts=((Act.NO_CONNECTION, 0),),
    upstreams=1,
    leaving=((0, 1),),
)
#: A second answer arrives when the answer to the next request is expected.
SECOND_ANSWER = Scenario(
    asks=(Ask("/safe/", 0),) * 2,
    acts=((Act.ANSWER_TWICE_LATE, 1), (Act.ANSWER, 30)),
    upstreams=1,
)
#: A second answer arrives in the middle of a stream, which can't continue after it.
SPOILED_STREAM = Scenario(
    asks=(Ask("/safe/", 0),) * 3 + (Ask("/brief/", 0),),
    acts=(
        (Act.ANSWER, 0),
        (Act.ANSWER, 0),
        (Act.ANSWER_TWICE_LATE, 5),
        (Act.ANSWER, 1),
    ),
    upstreams=1,
)
#: A rejection arrives again when the answer to the same request's next sending is
#: expected.
REPEATED_REJECTION = Scenario(
    asks=(Ask("/twice/", 0),),
    acts=((Act.REFUSE, 1), (Act.ANSWER, 30)),
    upstreams=1,
    repeats=(Repeat(1, 0),),
)
#: A rejection arrives again when the answer to another request is expected, without the
#: id that would tell the two apart.
UNNAMED_REJECTION = Scenario(
    asks=(Ask("/brief/", 0), Ask("/twice/", 40)),
    acts=((Act.REFUSE, 1), (Act.HANG, 0)),
    upstreams=1,
    repeats=(Repeat(1, 0, named=False),),
)
#: An answer arrives again on its idle connection just as the next request begins.
UNASKED_ANSWER = Scenario(
    asks=(Ask("/safe/", 0), Ask("/twice/", 7)),
    acts=((Act.ANSWER, 1), (Act.ANSWER, 30)),
    upstreams=1,
    repeats=(Repeat(0, 5),),
)
#: The upstream is silent for half of the time, and the budget allows no retry.
SILENT_WITHOUT_BUDGET = Scenario(
    asks=(Ask("/safe/", 0),), acts=((Act.ANSWER, 650),), slack=0.0
)
NAMED = (
    LEFT_DURING_CONNECT,
    SECOND_ANSWER,
    SPOILED_STREAM,
    REPEATED_REJECTION,
    UNNAMED_REJECTION,
    UNASKED_ANSWER,
    SILENT_WITHOUT_BUDGET,
)


_SETTINGS = settings(
    max_examples=EXAMPLES,
    derandomize="DELIVERY_EXAMPLES" not in os.environ,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class TestDeliverySearch(unittest.TestCase):
    @_SETTINGS
    @given(SCENARIOS)
    def test_no_generated_scenario_violates_an_invariant(self, scenario):
        self.assertEqual(find_faults(scenario), [])

    @_SETTINGS
    @given(REPEATING_SCENARIOS)
    def test_no_repeated_answer_violates_an_invariant(self, scenario):
        self.assertEqual(find_faults(scenario), [])

    def test_no_request_is_sent_if_the_upstream_left_during_the_connect(self):
        # Without a second check before the send, the request reaches an upstream that
        # began to leave while the connection was being opened, and is lost with it.
        self.assertEqual(find_faults(LEFT_DURING_CONNECT), [])

    def test_silent_upstream_is_abandoned_only_for_a_retry(self):
        # A late answer would become a failure: the attempt is abandoned after half of
        # the time in silence, and the budget then has no retry left.
        self.assertEqual(find_faults(SILENT_WITHOUT_BUDGET), [])

    def test_second_answer_is_dropped(self):
        # A caller would get another caller's answer: the upstream answers twice, and
        # the second answer arrives on the kept connection where the next is expected.
        self.assertEqual(find_faults(SECOND_ANSWER), [])

    def test_stream_with_another_answer_in_it_is_cut(self):
        # Otherwise the head of the other answer would become part of the stream.
        self.assertEqual(find_faults(SPOILED_STREAM), [])

    def test_repeated_rejection_is_not_taken_for_the_answer_to_the_next_sending(self):
        # A caller would be told that its request didn't run, though it runs.
        self.assertEqual(find_faults(REPEATED_REJECTION), [])

    def test_rejection_without_an_id_is_not_taken_for_the_answer_to_another(self):
        # As above, for another request than the one that was rejected.
        self.assertEqual(find_faults(UNNAMED_REJECTION), [])

    def test_no_request_is_sent_on_a_connection_that_is_being_reset(self):
        # It would fail, though nothing of it was sent, where it can't be repeated.
        self.assertEqual(find_faults(UNASKED_ANSWER), [])


def _find_violations():
    """Search for a scenario that violates an invariant; return the violations."""
    for scenario in NAMED:
        if faults := find_faults(scenario):
            return faults
    search = settings(
        max_examples=GUARD_EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    for scenarios in (SCENARIOS, REPEATING_SCENARIOS):
        with contextlib.suppress(NoSuchExample):
            return find_faults(find(scenarios, find_faults, settings=search))
    return []


def _retry_all(result, progress):
    return progress.sends < progress.max_sends


async def _accept_any_head(exchange, connection, on_skipped_head):
    return await connection.head()


async def _accept_unnamed_heads(exchange, connection, on_skipped_head):
    connection.calls = 1
    return await _MATCHING_HEAD(exchange, connection, on_skipped_head)


async def _acquire_any(self, ip, port, excluded=()):
    return await _ACQUIRE(self, ip, port)


def _forget_attempts(self, exchange, fault, job):
    kept = None if job is None else job.may_have_run
    if job is not None:
        job.may_have_run = False
    try:
        _ANSWER_ERROR(self, exchange, fault, job)
    finally:
        if job is not None:
            job.may_have_run = kept


def _lose_cleanly(self, reason=protocol.connectionDone):
    _CONNECTION_LOST(self, Failure(error.ConnectionDone()))


def _finish_partial(self):
    self.finish()


async def _wait_shielded(self, *wait):
    waiting = asyncio.ensure_future(_WAIT(self, *wait))
    # Retrieves the exception, which nothing awaits once the waiter has left.
    waiting.add_done_callback(lambda done: done.cancelled() or done.exception())
    return await asyncio.shield(waiting)


_ACQUIRE = ConnectionPool.acquire
_ANSWER_ERROR = ErrorAnswers.send
_CONNECTION_LOST = ClientConnection.connectionLost
_MATCHING_HEAD = attempts._matching_head
_WAIT = Placer._wait

GUARDS = {
    "a request that may have run is not retried": mock.patch.object(
        next_steps, "_may_retry", _retry_all
    ),
    "a refusal says that nothing ran": mock.patch.object(
        ErrorAnswers, "send", _forget_attempts
    ),
    "another request's answer is skipped": mock.patch.object(
        attempts, "_matching_head", _accept_any_head
    ),
    "each sending has a connection of its own": mock.patch.object(
        ConnectionPool, "acquire", _acquire_any
    ),
    "an answer without an id counts on a new connection": mock.patch.object(
        attempts, "_matching_head", _accept_unnamed_heads
    ),
    "a connection that is being reset is not handed out": mock.patch.object(
        ClientConnection, "ended", property(lambda self: self.lost)
    ),
    "a success has a signature": mock.patch.object(
        attempts.names, "SIGNATURE", b"fuchsiahatch-request-id"
    ),
    "a partial event is dropped": mock.patch.object(
        EventSplitter, "discard_partial", lambda self: None
    ),
    "a reset does not complete an answer": mock.patch.object(
        ClientConnection, "connectionLost", _lose_cleanly
    ),
    "a partial answer is cut": mock.patch.object(
        SimulatedExchange, "abort", _finish_partial
    ),
    "an upstream stops when its caller disconnects": mock.patch.object(
        ClientConnection, "abort", lambda self: None
    ),
    "a leaving upstream gets no requests": mock.patch.object(
        Fleet, "is_usable", lambda self, upstream, traits: True
    ),
    "a slot is released when its waiter disconnects": mock.patch.object(
        Placer, "_wait", _wait_shielded
    ),
    "every attempt releases its slot": mock.patch.object(
        Placer, "release", lambda self, upstream: None
    ),
    "an answer is sent in time": mock.patch.object(
        delivery.asyncio, "timeout", lambda limit_s: contextlib.nullcontext()
    ),
}


class TestGuards(unittest.TestCase):
    def test_search_detects_each_disabled_guard(self):
        for name, without in GUARDS.items():
            with self.subTest(name), without:
                self.assertTrue(_find_violations())
