import asyncio
import types
import unittest
from unittest import mock

from fuchsiahatch_experts.rank_orders import Order, OrderKind, OrderResult
from fuchsiahatch_gateway import rank_agent
from fuchsiahatch_gateway.answer_times import (
    MAX_TIMEOUT_MS,
    MIN_TIMEOUT_MS,
    AnswerTimes,
)
from fuchsiahatch_gateway.rank_agent import RankAgent

REPORT = types.SimpleNamespace(
    born_ms=1, group="", running=0, step=1, rank=0, epoch=1, open=True
)


class Engine:
    """Answers reports in a fixed time, and loses the first `lost` arm orders."""

    def __init__(self, report_ms, lost):
        self.now_ms = 0.0
        self.report_ms = report_ms
        self.lost = lost

    async def report(self):
        self.now_ms += self.report_ms
        return REPORT

    async def arm(self, version, epoch, step, limit_ms):
        if self.lost:
            self.lost -= 1
            self.now_ms += limit_ms
            return OrderResult.UNKNOWN
        self.now_ms += self.report_ms
        return OrderResult.BEGUN


class TestAnswerTimes(unittest.TestCase):
    def test_varying_response_times_have_a_longer_timeout(self):
        steady, varying = AnswerTimes(), AnswerTimes()
        for number in range(50):
            steady.note(8.0)
            varying.note(8.0 + 6.0 * (number % 2))
        self.assertEqual(steady.timeout_ms(), MIN_TIMEOUT_MS)
        self.assertGreater(varying.timeout_ms(), 20)

    def test_each_failed_attempt_doubles_the_timeout_up_to_the_maximum(self):
        times = AnswerTimes()
        self.assertEqual(times.timeout_ms(), MAX_TIMEOUT_MS)
        times.note(2.0)
        timeouts = [times.timeout_ms(number) for number in range(3)]
        self.assertEqual(timeouts, [MIN_TIMEOUT_MS, 2 * MIN_TIMEOUT_MS, MAX_TIMEOUT_MS])


class TestLostOrders(unittest.TestCase):
    def test_lost_arm_orders_are_retried_within_the_streams_gap(self):
        # With a tenth of the answers lost, each switch of 72 ranks held a pass of 60 ms
        # for 100 ms longer, and all streams of the group were late.
        engine = Engine(report_ms=2.0, lost=2)

        async def play():
            agent = RankAgent(engine, "10.0.0.1:80")
            for _ in range(10):
                await agent.read_report()
            began_ms = engine.now_ms
            order = Order(0, OrderKind.ARM, 1, version=5, step=9)
            result = await agent.apply_order(order)
            return result, engine.now_ms - began_ms

        with mock.patch.object(rank_agent, "_now_ms", lambda: engine.now_ms):
            result, took_ms = asyncio.run(play())
        self.assertIs(result, OrderResult.BEGUN)
        self.assertLess(took_ms, 60)
