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
from fuchsiahatch_gateway.delivery import Delivery
from fuchsiahatch_gateway.event_stream import EventSplitter
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_http1.client import ClientConnection
from tests.gateway.delivery_model import (
    PATHS,
    Ask,
    PlayedExchange,
    Scenario,
    find_faults,
)
from tests.gateway.played_upstreams import Act

#: Scenarios of one run of the tests, and those in which a guard's want must show.
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


#: Too rare to be met by chance in a run of the tests: a connect is under way when the
#: upstream begins to leave.
LEFT_DURING_CONNECT = Scenario(
    asks=(Ask("/safe/", 0),) + (Ask("/safe/", 1),) * 3,
    acts=((Act.NO_CONNECTION, 0),),
    upstreams=1,
    leaving=((0, 1),),
)
#: A second answer comes when the answer to the next request is due.
SECOND_ANSWER = Scenario(
    asks=(Ask("/safe/", 0),) * 2,
    acts=((Act.ANSWER_TWICE_LATE, 1), (Act.ANSWER, 30)),
    upstreams=1,
)
#: A second answer comes into the midst of a stream, which can't go on behind it.
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
#: Half of the time passes in silence, and nobody else could be asked.
SILENT_WITHOUT_BUDGET = Scenario(
    asks=(Ask("/safe/", 0),), acts=((Act.ANSWER, 650),), slack=0.0
)
NAMED = (LEFT_DURING_CONNECT, SECOND_ANSWER, SPOILED_STREAM, SILENT_WITHOUT_BUDGET)


class TestDeliverySearch(unittest.TestCase):
    @settings(
        max_examples=EXAMPLES,
        derandomize="DELIVERY_EXAMPLES" not in os.environ,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(SCENARIOS)
    def test_every_promise_is_kept_in_every_order_of_events(self, scenario):
        self.assertEqual(find_faults(scenario), [])

    def test_nothing_is_sent_to_an_upstream_that_left_during_the_connect(self):
        # A request comes to an upstream that said before that it leaves, and dies with
        # it: the connection was being opened when the news came, and nobody looked
        # again before the send.
        self.assertEqual(find_faults(LEFT_DURING_CONNECT), [])

    def test_a_silent_upstream_is_given_up_only_for_another_one(self):
        # An answer that would have come late becomes a failure: the upstream was
        # silent for half of the time, the request was cut there, and then the budget
        # of second sends had nothing left for it.
        self.assertEqual(find_faults(SILENT_WITHOUT_BUDGET), [])

    def test_a_second_answer_is_nobodys(self):
        # A caller gets another caller's booking: the upstream answered twice, and the
        # second answer came on the kept connection where the next one was due.
        self.assertEqual(find_faults(SECOND_ANSWER), [])

    def test_a_stream_with_another_answer_in_its_midst_ends_broken(self):
        # A brief has the head of another answer between two sentences.
        self.assertEqual(find_faults(SPOILED_STREAM), [])


def _is_found():
    """Search for a scenario that breaks a promise; return what is broken."""
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
    try:
        return find_faults(find(SCENARIOS, find_faults, settings=search))
    except NoSuchExample:
        return []


def _repeats_all(result, progress):
    return progress.sends < progress.max_sends


async def _takes_first_head(exchange, connection):
    return await connection.head()


def _keeps_refusal(self, exchange, fault, job):
    kept = None if job is None else job.may_have_run
    if job is not None:
        job.may_have_run = False
    try:
        _ANSWER_ERROR(self, exchange, fault, job)
    finally:
        if job is not None:
            job.may_have_run = kept


def _ends_cleanly(self, reason=protocol.connectionDone):
    _CONNECTION_LOST(self, Failure(error.ConnectionDone()))


def _finishes_half(self):
    self.finish()


async def _waits_in_vain(self, *wait):
    waiting = asyncio.ensure_future(_WAIT(self, *wait))
    # Its fault, if any, is nobody's any more once the waiter has left.
    waiting.add_done_callback(lambda done: done.cancelled() or done.exception())
    return await asyncio.shield(waiting)


_ANSWER_ERROR = Delivery._answer_error
_CONNECTION_LOST = ClientConnection.connectionLost
_WAIT = Placer._wait

GUARDS = {
    "a request that may have run goes nowhere else": mock.patch.object(
        next_steps, "_may_retry", _repeats_all
    ),
    "a refusal says that nothing ran": mock.patch.object(
        Delivery, "_answer_error", _keeps_refusal
    ),
    "another request's answer is passed over": mock.patch.object(
        attempts, "_matching_head", _takes_first_head
    ),
    "a success is the upstream's own": mock.patch.object(
        attempts.names, "SIGNATURE", b"fuchsiahatch-request-id"
    ),
    "half an event is dropped": mock.patch.object(
        EventSplitter, "discard_partial", lambda self: None
    ),
    "a reset is no end": mock.patch.object(
        ClientConnection, "connectionLost", _ends_cleanly
    ),
    "half an answer looks like none": mock.patch.object(
        PlayedExchange, "abort", _finishes_half
    ),
    "an upstream stops for a caller who has left": mock.patch.object(
        ClientConnection, "abort", lambda self: None
    ),
    "what has begun to leave gets nothing": mock.patch.object(
        Fleet, "is_usable", lambda self, upstream: True
    ),
    "a place comes back when its waiter has left": mock.patch.object(
        Placer, "_wait", _waits_in_vain
    ),
    "every try gives its place back": mock.patch.object(
        Placer, "release", lambda self, upstream: None
    ),
    "an answer comes in time": mock.patch.object(
        delivery.asyncio, "timeout", lambda limit_s: contextlib.nullcontext()
    ),
}


class TestGuards(unittest.TestCase):
    def test_the_search_finds_each_guard_that_is_taken_out(self):
        for name, without in GUARDS.items():
            with self.subTest(name), without:
                self.assertTrue(_is_found())
