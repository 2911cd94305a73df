import unittest

from fuchsiahatch_core.codes import Code
from fuchsiahatch_daemon import step_wire
from fuchsiahatch_experts.grants import (
    Accepted,
    Ask,
    Commit,
    Committed,
    EngineState,
    Proposal,
    Propose,
    Refused,
    Told,
    Window,
)

WINDOW = Window(4, 8, 2)
ENGINE = EngineState(1, 3, WINDOW, frozenset({1, 2}), 4.5)
ASK = Ask(term=3, epoch=1, number=9, begin=True, wanted_map=2)
PROPOSE = Propose(3, 1, "life-1", WINDOW)
COMMIT = Commit(3, 1, "life-1", WINDOW)


class TestThereAndBack(unittest.TestCase):
    def test_requests(self):
        self.assertEqual(step_wire.from_wire_ask(step_wire.to_wire_ask("g", ASK)), ASK)
        for request in (PROPOSE, COMMIT):
            message = step_wire.to_wire_window_request("g", request)
            kind = type(request)
            self.assertEqual(step_wire.from_wire_window_request(message, kind), request)

    def test_answers(self):
        pairs = (
            (Told(1, "life-1", 3, 9, ENGINE, Proposal(2, WINDOW)), ASK),
            (Told(1, "life-1", 3, 9, EngineState(), None), ASK),
            (Accepted(1, "life-1", 3, WINDOW), PROPOSE),
            (Committed(1, "life-1", 3, WINDOW), COMMIT),
            (Refused(1, "life-1", 5, 3, Code.OLD_TERM), COMMIT),
        )
        for answer, request in pairs:
            message = step_wire.to_wire_answer(answer)
            with self.subTest(answer=type(answer).__name__):
                self.assertEqual(step_wire.from_wire_answer(message, request), answer)
