import unittest

from fuchsiahatch_platform.upstream import UpstreamClient
from fuchsiahatch_standins.scripted_upstream import ScriptedUpstream
from tests.loopback import run


class TestRepeatedAnswers(unittest.TestCase):
    def test_repeated_answer_is_not_taken_for_the_answer_to_the_next_request(self):
        # A caller would get another caller's answer: the upstream repeats its first
        # answer on that connection, where the next one is expected.
        connections = []

        async def answer(request, wire):
            if wire in connections:
                await wire.answer(request, body=b"first")
            connections.append(wire)
            await wire.answer(request, body=request.target.encode())

        async def ask(client, path):
            answer = await client.send("GET", path, [], b"")
            return b"".join([piece async for piece in answer.pieces])

        async def play():
            server = ScriptedUpstream(answer)
            client = UpstreamClient(f"http://127.0.0.1:{await server.listen()}")
            try:
                return [await ask(client, path) for path in ("/first", "/second")]
            finally:
                await server.close()

        self.assertEqual(run(play()), [b"/first", b"/second"])
