import types
import unittest
from unittest import mock

from fuchsiahatch_gateway.agent import Agent
from tests.loopback import run


class TestAgentStop(unittest.TestCase):
    def test_a_term_that_is_lost_while_the_agent_stops_does_not_break_the_stop(self):
        # It ended with a traceback, and without its last line.
        agent = types.SimpleNamespace(leadership=mock.AsyncMock())

        async def lose_term():
            agent.leader = None

        agent.leader = mock.Mock(finish=lose_term)
        run(Agent._stop_leading(agent))
        self.assertIsNone(agent.leader)

    def test_two_stops_of_one_leader_release_its_lease_once(self):
        agent = types.SimpleNamespace(leadership=mock.AsyncMock())

        async def stop_too():
            agent.leader.finish = mock.AsyncMock()
            await Agent._stop_leading(agent)

        agent.leader = mock.Mock(finish=stop_too)
        run(Agent._stop_leading(agent))
        agent.leadership.release.assert_awaited_once()
