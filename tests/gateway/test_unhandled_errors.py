import asyncio
import unittest
from unittest import mock

from twisted.internet import reactor

from fuchsiahatch_core.events import Event
from fuchsiahatch_gateway import unhandled_errors
from fuchsiahatch_gateway.unhandled_errors import log_unhandled_errors
from fuchsiahatch_http1.connection_states import PeerEnd
from fuchsiahatch_http1.server import HttpServer
from fuchsiahatch_http1.server_connection import ServerConnection
from tests.gateway.sites import until
from tests.loopback import run

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


def fail(*args):
    raise ArithmeticError("fails")


class TestUnhandledErrors(unittest.TestCase):
    def details_of(self, act):
        """Return the details of internal errors that are logged during an action."""
        lines = []

        async def play():
            loop = asyncio.get_running_loop()
            self.addCleanup(loop.set_exception_handler, loop.get_exception_handler())
            self.addCleanup(
                unhandled_errors.globalLogPublisher.removeObserver,
                unhandled_errors._note_twisted_error,
            )
            log_unhandled_errors(loop)
            await act()
            await until(lambda: lines)

        def write(event, **fields):
            lines.append((event, fields["detail"]))

        with (
            mock.patch.object(unhandled_errors, "log_event", write),
            # The default handler also writes to standard error.
            mock.patch.object(asyncio.BaseEventLoop, "default_exception_handler"),
        ):
            run(play())
        self.assertEqual({event for event, _ in lines}, {Event.INTERNAL_ERROR})
        return [detail for _, detail in lines]

    def test_an_error_in_a_callback_of_the_loop_has_a_line(self):
        async def act():
            asyncio.get_running_loop().call_soon(fail)

        (detail,) = self.details_of(act)
        self.assertIn("ArithmeticError", detail)

    def test_an_error_in_a_timer_of_twisted_has_a_line(self):
        async def act():
            reactor.callLater(0, fail)

        self.assertIn("ArithmeticError", self.details_of(act)[0])

    def test_an_error_that_closes_a_callers_connection_has_a_line(self):
        closed = []

        async def act():
            server = HttpServer(fail)
            server.report_cuts(lambda cut: None, closed.append)
            port = await server.listen("127.0.0.1", 0)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            await until(lambda: closed)
            writer.close()
            await server.stop_accepting()

        with mock.patch.object(ServerConnection, "dataReceived", fail):
            details = self.details_of(act)
        self.assertIn("ArithmeticError", details[0])
        self.assertEqual(closed[0].reason, "failed")
        self.assertEqual(closed[0].peer_end, PeerEnd.OPEN)
