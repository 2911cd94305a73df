import asyncio
import contextlib
import time
import unittest
from unittest import mock

from fuchsiahatch_gateway import entry, request_log
from fuchsiahatch_gateway.answer_relay import MAX_KEPT_BODY_BYTES
from fuchsiahatch_gateway.event_stream import MAX_QUIET_BYTES, EventSplitter
from fuchsiahatch_gateway.kept_bytes import FREE_BYTES, KeptBytes
from fuchsiahatch_http1.answers import Framing
from fuchsiahatch_standins.scripted_upstream import encode_head
from tests.gateway.sites import (
    Reply,
    Site,
    answers,
    encode_request,
    event_ids,
    streams,
    upstream,
)
from tests.loopback import run

LARGE = b"".join(b"%07d\n" % number for number in range(400_000))
MEDIUM = LARGE[: MAX_KEPT_BODY_BYTES // 2]
#: Far above what is kept and what is skipped.
ENDLESS_PIECES = 1_500
PIECE = b"x" * 65_536
NOT_RUN = {"Fuchsiahatch-Not-Executed": "1"}


def encode_any_head(request_id, framing, length, status=200, headers=()):
    head = encode_head(request_id, status, length, dict(headers))
    if framing is Framing.LENGTH:
        return head
    chunked = "Transfer-Encoding: chunked\r\n" if framing is Framing.CHUNKED else ""
    return head.replace(b"Content-Length: %d\r\n" % length, chunked.encode())


def sends(body, framing, end=True):
    """Return a script that sends a body, and its end or else a reset."""

    async def script(request, wire):
        length = len(body) if end else 2 * len(body)
        await wire.raw(encode_any_head(request.request_id, framing, length))
        for at in range(0, len(body), 50_000):
            piece = body[at : at + 50_000]
            chunked = framing is Framing.CHUNKED
            await wire.raw(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
        if not end:
            await wire.acknowledged()
            wire.reset()
        elif framing is Framing.CHUNKED:
            await wire.end_stream()
        elif framing is Framing.UNTIL_CLOSE:
            wire.close()

    return script


class Endless:
    """A script that sends a body without end, of an answer to a given request."""

    def __init__(self, status=200, headers=(), request_id="", framing=Framing.LENGTH):
        self._status, self._headers = status, headers
        self._request_id, self._framing = request_id, framing
        self.sent_bytes = 0

    async def __call__(self, request, wire):
        # The upstream is closed while it still sends.
        with contextlib.suppress(asyncio.CancelledError):
            await self._send(request, wire)

    async def _send(self, request, wire):
        request_id = self._request_id or request.request_id
        await wire.raw(
            encode_any_head(
                request_id, self._framing, 99_999_999_999, self._status, self._headers
            )
        )
        chunked = self._framing is Framing.CHUNKED
        piece = b"%x\r\n%b\r\n" % (len(PIECE), PIECE) if chunked else PIECE
        for _ in range(ENDLESS_PIECES):
            await wire.raw(piece)
            self.sent_bytes += len(PIECE)
        await asyncio.sleep(30)


async def ask(path, *scripts, **options):
    """Ask an entry before one upstream that runs scripts in turn."""
    server = upstream(*scripts)
    async with Site(server) as site:
        began_s = time.monotonic()
        reply = await site.ask(path, **options)
        reply.took_s = time.monotonic() - began_s
        reply.sends = len(server.received)
        await asyncio.sleep(0.05)
        reply.held_bytes = site.entry.kept.held_bytes
        return reply


class TestLargeAnswers(unittest.TestCase):
    def test_a_large_answer_arrives_whole_and_framed(self):
        for framing in Framing:
            with self.subTest(framing=framing):
                reply = run(ask("/hold/", sends(LARGE, framing)))
                self.assertTrue(reply.whole)
                self.assertTrue(reply.body == LARGE)
                length = reply.headers.get("content-length")
                expected = str(len(LARGE)) if framing is Framing.LENGTH else None
                self.assertEqual(length, expected)
                self.assertEqual(reply.held_bytes, 0)

    def test_it_arrives_whole_at_a_caller_that_reads_slowly(self):
        async def read(site):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", site.port, limit=16_384
            )
            writer.write(encode_request("/hold/"))
            data = b""
            while piece := await reader.read(50_000):
                data += piece
                await asyncio.sleep(0.01)
            writer.close()
            return Reply(data)

        async def play():
            async with Site(upstream(sends(LARGE, Framing.LENGTH))) as site:
                return await read(site)

        reply = run(play())
        self.assertTrue(reply.whole and reply.body == LARGE)

    def test_one_that_breaks_off_does_not_look_complete_and_is_not_retried(self):
        for path in ("/safe/", "/hold/", "/chat/"):
            for framing in Framing:
                with self.subTest(path=path, framing=framing):
                    half = sends(LARGE, framing, end=False)
                    if path == "/chat/":
                        half = _typed(half)
                    reply = run(ask(path, half, answers()))
                    self.assertEqual(
                        (reply.status, reply.whole, reply.sends), (200, False, 1)
                    )

    def test_one_that_breaks_off_while_it_is_kept_is_retried(self):
        for framing in Framing:
            with self.subTest(framing=framing):
                half = sends(MEDIUM, framing, end=False)
                reply = run(ask("/safe/", half, answers()))
                self.assertEqual((reply.body, reply.whole), (b"ok", True))


def _typed(script):
    """Return a script whose answer has a type that is no event stream."""

    async def typed(request, wire):
        raw = wire.raw

        async def add_type(data):
            wire.raw = raw
            head, _, rest = data.partition(b"\r\n")
            await raw(head + b"\r\nContent-Type: application/json\r\n" + rest)

        wire.raw = add_type
        await script(request, wire)

    return typed


class TestEndlessBodies(unittest.TestCase):
    def test_they_are_received_no_faster_than_the_caller_receives_them(self):
        async def play(endless):
            async with Site(upstream(endless)) as site:
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", site.port, limit=1_024
                )
                writer.write(encode_request("/hold/"))
                await asyncio.sleep(0.8)
                writer.transport.abort()

        for framing in Framing:
            with self.subTest(framing=framing):
                endless = Endless(framing=framing)
                run(play(endless))
                self.assertLess(endless.sent_bytes, 40_000_000)

    def test_they_are_cut_at_the_end_of_the_time_of_the_request(self):
        async def play(framing):
            async with Site(upstream(Endless(framing=framing), answers())) as site:
                reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                writer.write(encode_request("/safe/"))
                began_s = time.monotonic()
                with self.assertRaises(ConnectionResetError):
                    while await reader.read(65_536):
                        pass
                writer.close()
                return time.monotonic() - began_s, site.entry.kept.held_bytes

        for framing in Framing:
            with self.subTest(framing=framing):
                took_s, held_bytes = run(play(framing))
                self.assertGreater(took_s, 1.0)
                self.assertLess(took_s, 2.0)
                self.assertEqual(held_bytes, 0)

    def test_a_refusal_with_such_a_body_is_retried_at_once(self):
        for path in ("/safe/", "/twice/"):
            with self.subTest(path=path):
                endless = Endless(503, NOT_RUN)
                reply = run(ask(path, endless, answers()))
                self.assertEqual((reply.status, reply.body), (200, b"ok"))
                self.assertLess(reply.took_s, 0.7)

    def test_a_refusal_whose_body_never_comes_is_retried_at_once(self):
        async def refuse(request, wire):
            await wire.raw(encode_head(request.request_id, 503, 9, NOT_RUN))
            await asyncio.sleep(30)

        reply = run(ask("/twice/", refuse, answers()))
        self.assertEqual((reply.status, reply.body), (200, b"ok"))
        self.assertLess(reply.took_s, 0.7)

    def test_a_failure_with_such_a_body_is_retried_where_that_is_allowed(self):
        reply = run(ask("/safe/", Endless(500), answers()))
        self.assertEqual((reply.status, reply.body), (200, b"ok"))
        reply = run(ask("/hold/", Endless(500), answers()))
        self.assertEqual((reply.status, reply.whole, reply.sends), (500, False, 1))

    def test_a_long_failure_that_can_not_be_retried_is_relayed(self):
        async def fails(request, wire):
            await wire.raw(encode_any_head(request.request_id, length, len(LARGE), 500))
            await wire.raw(LARGE)

        length = Framing.LENGTH
        reply = run(ask("/twice/", fails))
        self.assertEqual((reply.status, reply.whole, reply.sends), (500, True, 1))
        self.assertEqual(len(reply.body), len(LARGE))

    def test_an_answer_to_another_request_with_such_a_body_breaks_the_attempt(self):
        endless = Endless(request_id="q-other")
        reply = run(ask("/safe/", endless, answers()))
        self.assertEqual((reply.status, reply.body), (200, b"ok"))
        reply = run(ask("/hold/", endless, answers()))
        self.assertEqual((reply.status, reply.sends), (502, 1))
        self.assertLess(reply.took_s, 1.0)


class TestStreamsWithoutEvents(unittest.TestCase):
    def test_a_stream_of_comments_moves_to_another_upstream(self):
        async def comment(request, wire):
            await wire.begin_stream(request)
            await wire.event(1)
            for _ in range(100):
                await asyncio.sleep(0.05)
                await wire.raw(b"3\r\n:\n\n\r\n")

        reply = run(ask("/chat/", comment, streams(2, 4)))
        self.assertEqual((event_ids(reply.body), reply.whole), ([1, 2, 3, 4], True))
        self.assertIn(b":\n\n", reply.body)

    def test_comments_without_end_are_cut(self):
        for line in (b": comment\n\n", b"noise\n\n", b"\n"):
            with self.subTest(line=line):
                data = line * (len(PIECE) // len(line))

                async def flood(request, wire, data=data):
                    await wire.begin_stream(request)
                    for _ in range(ENDLESS_PIECES):
                        await wire.raw(b"%x\r\n%b\r\n" % (len(data), data))

                reply = run(ask("/brief/", flood))
                self.assertFalse(reply.whole)
                self.assertLess(len(reply.body), 2 * MAX_QUIET_BYTES)
                self.assertLess(reply.took_s, 1.0)

    def test_a_comment_is_no_progress_and_an_event_is(self):
        events = EventSplitter()
        for data, progressed in (
            (b":\n\n", False),
            (b"retry: 1\n\n", False),
            (b"data: x\n", False),
            (b"\n", True),
            (b":\r\rid: 1\r\r", True),
            (b"x", False),
        ):
            events.feed(data)
            self.assertEqual(events.progressed, progressed, data)


class TestMemoryOfAllAnswers(unittest.TestCase):
    def ask_without_memory(self, path, *scripts):
        with mock.patch.object(entry, "KeptBytes", lambda max_bytes: KeptBytes(0)):
            return run(ask(path, *scripts))

    def test_an_answer_without_room_is_relayed_as_it_comes(self):
        for framing in Framing:
            with self.subTest(framing=framing):
                reply = self.ask_without_memory("/safe/", sends(MEDIUM, framing))
                self.assertTrue(reply.whole and reply.body == MEDIUM)
                half = sends(MEDIUM, framing, end=False)
                reply = self.ask_without_memory("/safe/", half, answers())
                self.assertEqual((reply.whole, reply.sends), (False, 1))

    def test_a_short_answer_is_kept_and_retried_all_the_same(self):
        half = sends(LARGE[:FREE_BYTES], Framing.LENGTH, end=False)
        reply = self.ask_without_memory("/safe/", half, answers())
        self.assertEqual((reply.body, reply.whole), (b"ok", True))

    def test_a_long_event_without_room_breaks_its_stream(self):
        async def event(request, wire):
            await wire.begin_stream(request)
            await wire.raw(b"%x\r\n%b\r\n" % (len(MEDIUM), MEDIUM))
            await asyncio.sleep(30)

        reply = self.ask_without_memory("/brief/", event)
        self.assertEqual(reply.status, 502)

    def test_shares_are_given_back(self):
        account = KeptBytes(100)
        first, second = account.reserve(), account.reserve()
        self.assertTrue(first.resize(FREE_BYTES + 60))
        self.assertFalse(second.resize(FREE_BYTES + 60))
        self.assertTrue(second.resize(FREE_BYTES))
        self.assertTrue(first.resize(FREE_BYTES + 30))
        self.assertTrue(second.resize(FREE_BYTES + 60))
        first.release()
        self.assertEqual(account.held_bytes, 60)


class TestSight(unittest.TestCase):
    def lines_of(self, path, *scripts):
        with mock.patch.object(request_log, "log_event") as write:
            run(ask(path, *scripts))
        return [call.kwargs for call in write.call_args_list]

    def test_a_retry_behind_a_bound_says_which(self):
        (retried, *_) = self.lines_of("/safe/", Endless(request_id="q-x"), answers())
        self.assertEqual(
            (retried["answer_end"], retried["bounds"]), ("too long", ["skipped"])
        )
        self.assertIn("bytes", retried["detail"])

    def test_a_failure_without_end_behind_the_beginning_of_a_stream_is_given_up(self):
        begun = streams(1, 2, end=False)
        *_, ended = self.lines_of("/chat/", begun, Endless(400))
        self.assertEqual(ended["bounds"], ["kept"])
        self.assertIn("a long answer of status 400", ended["end"])

    def test_an_answer_that_is_cut_behind_a_bound_says_which(self):
        (ended,) = self.lines_of("/hold/", Endless())
        self.assertEqual(ended["bounds"], ["kept"])
        self.assertIn("504", ended["end"])


if __name__ == "__main__":
    unittest.main()
