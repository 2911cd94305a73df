import unittest

from fuchsiahatch_daemon import rpc
from tests.loopback import run


class TestServe(unittest.TestCase):
    def test_reset_of_an_ended_call_leaves_the_connection(self):
        """Answers break off because another caller went away.

        Its call has ended and its task is forgotten; then its reset comes. The
        KeyError closes the connection that all answers from the agent share.
        """

        async def work():
            server = await rpc.serve([], "127.0.0.1:0")
            protocol = server._protocol_factory()
            protocol.handler.cancel(object())
            server.close()
            await server.wait_closed()

        run(work())
