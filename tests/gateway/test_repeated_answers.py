"""Upstreams that send some of their answers again, on real connections."""

import asyncio
import collections
import random
import unittest

from fuchsiahatch_standins.scripted_upstream import encode_head
from tests.gateway.sites import Site, ask, upstream
from tests.loopback import run

CALLERS = 12
SPAN_S = 1.0
#: Share of the answers that are sent again.
SHARE = 0.3
#: Bytes of an answer that come at once where the rest comes later.
FIRST_BYTES = 40
UNASKED_S = (0.0, 0.04)
WORK_S = (0.001, 0.01)


def behind_the_next_request(upstream, wire, answer):
    upstream.kept[wire] += answer


def twice_behind_the_next_request(upstream, wire, answer):
    upstream.kept[wire] += 2 * answer


def with_the_answer(upstream, wire, answer):
    return answer


def partly_with_the_answer(upstream, wire, answer):
    upstream.kept[wire] += answer[FIRST_BYTES:]
    return answer[:FIRST_BYTES]


def unasked(upstream, wire, answer):
    delay_s = upstream.rng.uniform(*UNASKED_S)
    asyncio.get_running_loop().call_later(delay_s, wire._writer.write, answer)


def without_its_id(upstream, wire, answer):
    lines = answer.split(b"\r\n")
    kept = [line for line in lines if b"Request-Id" not in line]
    upstream.kept[wire] += b"\r\n".join(kept)


class RepeatingUpstream:
    """An upstream that answers, and sends some answers again in one of the ways."""

    def __init__(self, way, seed):
        self.rng = random.Random(seed)
        self.kept = collections.defaultdict(bytes)
        self._way = way
        self.server = upstream(self._serve)

    async def _serve(self, request, wire):
        if self.kept[wire]:
            await wire.raw(self.kept.pop(wire))
        await asyncio.sleep(self.rng.uniform(*WORK_S))
        status = self.rng.choice((200, 200, 500))
        body = request.request_id.encode()
        answer = encode_head(request.request_id, status, len(body), {}) + body
        again = None
        if self.rng.random() < SHARE:
            again = self._way(self, wire, answer)
        await wire.raw(answer + (again or b""))


async def call_in_turn(site, name, ends_s, counts):
    """Send one unsafe request after the other; count the replies by status."""
    loop = asyncio.get_running_loop()
    for number in range(10_000):
        if loop.time() >= ends_s:
            return
        request_id = f"{name}-{number}"
        reply = await ask(site.port, "/hold/", request_id=request_id)
        counts[reply.status] += 1
        if reply.status in (200, 500) and reply.body != request_id.encode():
            counts["another's answer"] += 1


async def play(way, seed):
    servers = [RepeatingUpstream(way, seed + number).server for number in range(2)]
    counts = collections.Counter()
    async with Site(*servers) as site:
        ends_s = asyncio.get_running_loop().time() + SPAN_S
        await asyncio.gather(
            *(call_in_turn(site, f"q{one}", ends_s, counts) for one in range(CALLERS))
        )
    return counts


class TestRepeatedAnswers(unittest.TestCase):
    def test_no_request_fails_by_an_answer_that_is_sent_again(self):
        # Their idle connections are reset, and were handed to requests meanwhile.
        ways = (
            behind_the_next_request,
            twice_behind_the_next_request,
            with_the_answer,
            partly_with_the_answer,
            unasked,
            without_its_id,
        )
        for way in ways:
            with self.subTest(way.__name__):
                counts = run(play(way, seed=70))
                self.assertGreater(counts[200], 100)
                self.assertLessEqual(counts.keys(), {200, 500}, counts)
