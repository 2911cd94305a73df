import random
import threading
import time
import unittest

from tests.deployment.caller_channels import Channel
from tests.deployment.caller_loop import CallerLoop
from tests.deployment.caller_manners import BodyForm, Manners, SeenBy
from tests.deployment.caller_records import EndedBy, Ending
from tests.deployment.caller_requests import Kind, Request
from tests.deployment.caller_sendings import Sending
from tests.deployment.scripted_server import (
    HEAD,
    LAST_CHUNK,
    ScriptedServer,
    make_chunk,
    read_request,
    reset,
)

KIND = Kind("note", "/note/", "POST", "stream", True, 200, 1_000, 1, 10, 3, 3, 10)
EVENTS = b"".join(map(make_chunk, (1, 2, 3)))


def make_request(limit_s=1.0, events=3):
    until_s = time.monotonic() + limit_s
    return Request(KIND, "/note/3/10", events, 0.03, until_s)


class TestSending(unittest.TestCase):
    def play(self, script, manners=None, request=None, before_read=lambda: None):
        """Send a request to a script, and return the record of it."""
        manners = manners or Manners()
        request = request or make_request()

        async def ask():
            channel = Channel(server.address, manners.seen_by)
            await channel.connect()
            sending = Sending(request, "q-1", "c", channel, manners, random.Random(1))
            sending.send("booking.example", "key")
            await channel.receive(time.monotonic())
            before_read()
            await sending.receive()
            channel.close()
            records.append(sending.record)

        records = []
        with ScriptedServer(script) as server:
            loop = CallerLoop()
            loop.start(ask())
            loop.run()
        return records[0]

    def play_reset(self, seen_by):
        """Play a whole answer and a reset, which come before the caller reads."""
        is_over = threading.Event()

        def script(connection):
            read_request(connection)
            connection.sendall(HEAD + EVENTS + LAST_CHUNK)
            reset(connection)
            is_over.set()

        return self.play(script, Manners(seen_by=seen_by), before_read=is_over.wait)

    def test_a_whole_answer_is_whole(self):
        def script(connection):
            read_request(connection)
            connection.sendall(HEAD + EVENTS + LAST_CHUNK)

        record = self.play(script)
        self.assertTrue(record.whole)
        self.assertEqual(record.ending, Ending.WHOLE)
        self.assertEqual((record.status, record.events), (200, 3))
        self.assertEqual((record.first_piece, record.last_piece), (1, 3))
        self.assertLessEqual(record.sent_s, record.read_s)
        self.assertLessEqual(record.read_s, record.ended_s)

    def test_an_answer_that_ends_early_is_not_whole(self):
        def script(connection):
            read_request(connection)
            connection.sendall(HEAD + make_chunk(1) + make_chunk(2)[:9])

        request = make_request()
        record = self.play(script, request=request)
        self.assertFalse(record.whole)
        self.assertEqual((record.ending, record.ended_by), (Ending.FIN, EndedBy.ENTRY))
        self.assertEqual((record.events, request.last_event), (1, 1))

    def test_reading_on_gets_what_came_before_a_reset(self):
        record = self.play_reset(SeenBy.READ)
        self.assertTrue(record.whole)

    def test_flags_and_buffers_drop_what_came_before_a_reset(self):
        for seen_by in (SeenBy.FLAGS, SeenBy.BUFFER):
            with self.subTest(seen_by):
                record = self.play_reset(seen_by)
                self.assertEqual((record.whole, record.ending), (False, Ending.RESET))
                self.assertEqual(record.unread_bytes, len(HEAD + EVENTS + LAST_CHUNK))
                self.assertTrue(record.whole_if_read)
                self.assertIn("ECONNRESET", record.seen)

    def test_a_silent_stream_is_left_at_its_time_limit(self):
        is_over = threading.Event()

        def script(connection):
            read_request(connection)
            connection.sendall(HEAD + make_chunk(1))
            is_over.wait()

        request = make_request(limit_s=0.1)
        threading.Timer(0.2, is_over.set).start()
        record = self.play(script, request=request)
        self.assertEqual(
            (record.ending, record.ended_by), (Ending.TIMEOUT, EndedBy.CALLER)
        )
        self.assertEqual(record.events, 1)

    def test_a_body_is_sent_once_it_is_asked_for(self):
        received = []

        def script(connection):
            received.append(read_request(connection))
            connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            received.append(connection.recv(65_536))
            connection.sendall(HEAD + EVENTS + LAST_CHUNK)

        record = self.play(script, Manners(body_form=BodyForm.EXPECT))
        self.assertTrue(record.whole)
        self.assertEqual(received[1], b"b" * KIND.request_bytes)

    def test_the_sending_side_is_ended_behind_the_last_event(self):
        def script(connection):
            read_request(connection)
            connection.sendall(HEAD + EVENTS)
            while connection.recv(65_536):
                pass
            connection.sendall(LAST_CHUNK)

        manners = Manners(frozenset({"half-closes-behind-answer"}))
        record = self.play(script, manners)
        self.assertTrue(record.whole)
