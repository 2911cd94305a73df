import http.client
import json
import unittest

from fuchsiahatch_core.codes import Code
from tests.processes.fleet import HOSTS, MODEL, TEAM, Fleet, ask, wait_until

ENTRY = "entry-kl-a"
CHAT = "/v1/chat/completions"
TEAM_HEADER = {"Fuchsiahatch-Team": TEAM}
KEYED = TEAM_HEADER | {"Idempotency-Key": "k1"}
GOOD = json.dumps({"model": MODEL, "messages": []})

BAD_REQUESTS = (
    ("GET", "/nowhere", None, {}, 404, Code.NOT_FOUND),
    ("GET", CHAT, None, TEAM_HEADER, 405, Code.NOT_FOUND),
    ("POST", CHAT, GOOD, {}, 400, Code.BAD_HEADER),
    ("POST", CHAT, "{", TEAM_HEADER, 400, Code.BAD_BODY),
    ("POST", CHAT, b"\xff\xfe", TEAM_HEADER, 400, Code.BAD_BODY),
    ("POST", CHAT, "[" * 100_000, TEAM_HEADER, 400, Code.BAD_BODY),
    ("POST", CHAT, '{"model": 7}', TEAM_HEADER, 400, Code.BAD_BODY),
    ("POST", CHAT, "x" * 1_100_000, TEAM_HEADER, 413, Code.BODY_TOO_LARGE),
    ("POST", CHAT, GOOD, {"Fuchsiahatch-Team": "x"}, 403, Code.UNKNOWN_TEAM),
    ("POST", CHAT, '{"model": "x"}', TEAM_HEADER, 404, Code.UNKNOWN_TARGET),
    ("GET", "/services/x/y", None, TEAM_HEADER, 404, Code.UNKNOWN_TARGET),
    ("GET", "/lookup?team=x", None, {}, 400, Code.BAD_REQUEST),
    ("GET", f"/lookup?team=x&model={MODEL}", None, {}, 403, Code.UNKNOWN_TEAM),
    (
        "POST", CHAT, GOOD, TEAM_HEADER | {"Idempotency-Key": "\xe9"}, 400,
        Code.BAD_HEADER,
    ),
    (
        "POST", CHAT, GOOD, TEAM_HEADER | {"Fuchsiahatch-Deadline-Ms": "soon"}, 400,
        Code.BAD_HEADER,
    ),
    (
        "POST", CHAT, GOOD, TEAM_HEADER | {"Fuchsiahatch-Priority": "first"}, 400,
        Code.BAD_HEADER,
    ),
    ("POST", CHAT, GOOD, KEYED | {"Fuchsiahatch-Ticket": "x"}, 400, Code.BAD_TICKET),
)  # fmt: skip


class TestCallers(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def test_bad_requests_are_told_what_to_change(self):
        address = self.fleet.address(ENTRY)
        for method, path, body, headers, status, code in BAD_REQUESTS:
            with self.subTest(path=path, body=str(body)[:20], headers=headers):
                found, content = ask(address, method, path, body, headers)
                error = json.loads(content)["error"]
                self.assertEqual((found, error["code"]), (status, code), error)
                self.assertEqual(error["verdict"], "NOT_RUN")

    def test_ticket_of_another_model_is_refused(self):
        ticket = self.fleet.look_up(ENTRY)["ticket"]
        headers = KEYED | {"Fuchsiahatch-Ticket": ticket}
        body = json.dumps({"model": "brief-writer"})
        status, content = ask(self.fleet.address(ENTRY), "POST", CHAT, body, headers)
        self.assertEqual(status, 400)
        self.assertEqual(json.loads(content)["error"]["code"], Code.BAD_TICKET)

    def test_key_with_another_body_is_refused(self):
        ticket = self.fleet.look_up(ENTRY)["ticket"]
        self.assertEqual(self.fleet.send(ENTRY, "reused", ticket)[0], 200)
        status, content = self.fleet.send(HOSTS[1], "reused", ticket, tokens=5)
        self.assertEqual(status, 422)
        self.assertEqual(json.loads(content)["error"]["code"], Code.KEY_REUSED)
        self.assertEqual(self.fleet.total_runs("reused"), 1)

    def test_repeatable_call_ends_at_the_engine_when_its_caller_goes(self):
        """A member closes the chat, and the engine goes on writing for nobody.

        The place it takes is missing for the next member.
        """
        body = json.dumps({"model": MODEL, "stream": True, "max_tokens": 2_000})
        connection = http.client.HTTPConnection(self.fleet.address(ENTRY))
        connection.request("POST", CHAT, body, TEAM_HEADER)
        connection.getresponse().read(10)
        connection.sock.close()
        connection.close()
        wait_until(
            lambda: sum(self.fleet.counts(host)["cancelled"] for host in HOSTS[2:]),
            "the engine sees that the caller has gone",
        )

    def test_deadline_is_answered_with_when_to_come_back(self):
        body = json.dumps({"model": MODEL, "max_tokens": 2_000})
        headers = TEAM_HEADER | {"Fuchsiahatch-Deadline-Ms": "200"}
        status, content = ask(self.fleet.address(ENTRY), "POST", CHAT, body, headers)
        error = json.loads(content)["error"]
        self.assertEqual((status, error["code"]), (504, Code.DEADLINE_PASSED))
        self.assertGreater(error["retry_after_ms"], 0)
