import unittest

from fuchsiahatch_adapter.model_engine import ModelEngine
from fuchsiahatch_adapter.node_settings import parse_address
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_experts.rank_orders import OrderResult
from fuchsiahatch_http1.pool import ConnectionPool
from fuchsiahatch_standins.scripted_upstream import ScriptedUpstream
from tests.loopback import run


async def ask(*scripts):
    server = ScriptedUpstream(*scripts)
    address = parse_address(f"127.0.0.1:{await server.listen()}")
    engine = ModelEngine(address, ConnectionPool(Clock()))
    try:
        return [await engine.hold(1, step, 500) for step in range(len(scripts))]
    finally:
        await server.close()


class TestRepeatedAnswers(unittest.TestCase):
    def test_repeated_refusal_is_not_taken_for_the_answer_to_the_next_order(self):
        # An order that took effect would count as refused: the engine repeats its
        # answer to the order before, where the answer to this one is expected.
        received = []

        async def refuse(request, wire):
            received.append(request)
            await wire.answer(request, 409, b"")

        async def repeat_and_accept(request, wire):
            await wire.answer(received[0], 409, b"")
            await wire.answer(request, 202, b"")

        results = run(ask(refuse, repeat_and_accept))
        self.assertEqual(results, [OrderResult.REFUSED, OrderResult.UNKNOWN])

    def test_answer_without_an_id_is_accepted(self):
        async def accept(request, wire):
            await wire.raw(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

        self.assertEqual(run(ask(accept, accept)), [OrderResult.BEGUN] * 2)
