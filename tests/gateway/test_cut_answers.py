import itertools
import unittest
from unittest import mock

import h11
from twisted.internet import error, protocol
from twisted.python.failure import Failure

from fuchsiahatch_gateway.event_stream import EventSplitter
from fuchsiahatch_gateway.upstream_crashes import UpstreamCrashes
from fuchsiahatch_http1.answers import Framing
from fuchsiahatch_http1.client import ClientConnection
from tests.gateway.delivery_model import STREAMS, Ask, Scenario, find_faults
from tests.gateway.played_upstreams import Cut, CutEnd, make_event

EVENT_BYTES = len(make_event(1))
#: Bytes of the body after which an answer is cut: up to the middle of the third event
#: of a stream, and up to a byte before the end of a plain body.
STREAM_CUTS = range(2 * EVENT_BYTES + 8)
PLAIN_CUTS = range(len(b"answer of run sig-0"))
#: What an upstream that lives on and closes says of its own answer can't be doubted.
SAID_COMPLETE = (Framing.UNTIL_CLOSE, CutEnd.CLOSE)


def make_scenarios(path):
    """Yield a scenario for each cut, framing and end of the first answer."""
    streams = path in STREAMS
    cuts = STREAM_CUTS if streams else PLAIN_CUTS
    for framing, at, end in itertools.product(Framing, cuts, CutEnd):
        whole_events = not streams or at % EVENT_BYTES == 0
        if (framing, end) == SAID_COMPLETE and whole_events:
            continue
        # The second upstream answers in full.
        cut = Cut(framing, at, end, piece_bytes=1 + at % 3)
        yield Scenario((Ask(path, 0),), ((cut, 1),))


def find_first_fault(path):
    """Return what the first cut that shows a fault violates, or an empty list."""
    return next(filter(None, map(find_faults, make_scenarios(path))), [])


def _lose_cleanly(self, reason=protocol.connectionDone):
    _CONNECTION_LOST(self, Failure(error.ConnectionDone()))


def _complete_any_answer(self, detail):
    self._events.append(h11.EndOfMessage())
    self._wake()


async def _trust(self, upstream):
    return True


_CONNECTION_LOST = ClientConnection.connectionLost

GUARDS = {
    "a stream is not complete inside an event": (
        "/brief/",
        mock.patch.object(EventSplitter, "partial_bytes", 0),
    ),
    "a partial event is dropped before the stream is resumed": (
        "/chat/",
        mock.patch.object(EventSplitter, "discard_partial", lambda self: None),
    ),
    "an unframed stream needs an upstream that works": (
        "/brief/",
        mock.patch.object(UpstreamCrashes, "still_works", _trust),
    ),
    "an unframed body needs an upstream that works": (
        "/twice/",
        mock.patch.object(UpstreamCrashes, "still_works", _trust),
    ),
    "a reset does not complete an answer": (
        "/brief/",
        mock.patch.object(ClientConnection, "connectionLost", _lose_cleanly),
    ),
    "a length or chunks have to be reached": (
        "/safe/",
        mock.patch.object(ClientConnection, "_fail", _complete_any_answer),
    ),
}


class TestCutAnswers(unittest.TestCase):
    def test_no_cut_answer_looks_complete(self):
        for path in ("/safe/", "/twice/", "/chat/", "/brief/"):
            for scenario in make_scenarios(path):
                with self.subTest(path=path, cut=scenario.acts[0][0]):
                    self.assertEqual(find_faults(scenario), [])

    def test_the_search_detects_each_disabled_guard(self):
        for name, (path, without) in GUARDS.items():
            with self.subTest(name), without:
                self.assertTrue(find_first_fault(path))
