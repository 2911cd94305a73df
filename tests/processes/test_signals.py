import concurrent.futures
import itertools
import json
import signal
import threading
import unittest

from fuchsiahatch_delivery.tickets import decode_ticket
from tests.processes.fleet import Fleet, wait_until

FIRST, SECOND = "entry-kl-a", "entry-kl-b"
SLOW_TOKENS = 400


class SignalCase(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.ticket = self.fleet.look_up(FIRST)["ticket"]
        self.pool = concurrent.futures.ThreadPoolExecutor(8)
        self.addCleanup(self.pool.shutdown)

    def begin(self, key, tokens=SLOW_TOKENS):
        """Send a slow request in the background and wait until its answer begins."""
        begun = threading.Event()
        sent = self.pool.submit(
            self.fleet.send, FIRST, key, self.ticket, tokens, begun.set
        )
        home = wait_until(lambda: self.fleet.home_of(key), f"{key} runs")
        wait_until(begun.is_set, f"the answer to {key} begins")
        return sent, home

    def verdict(self, content):
        return json.loads(content)["error"]["verdict"]


class TestKill(SignalCase):
    def test_entry_killed_in_flight_then_agent(self):
        """A member's phone asks again after its entry died in the middle.

        The retry at another entry must bring the whole answer of the first run. Then
        the home dies as well: nobody knows more, and nobody runs it again.
        """
        sent, home = self.begin("k1")
        self.fleet.signal(FIRST, signal.SIGKILL)
        self.assertEqual(sent.result()[0], 0)
        again = self.fleet.send(SECOND, "k1", self.ticket, SLOW_TOKENS)
        replayed = self.fleet.send(SECOND, "k1", self.ticket, SLOW_TOKENS)
        self.assertEqual(again[0], 200)
        self.assertIn(b"[DONE]", again[1])
        self.assertEqual(again, replayed)
        self.fleet.signal(home, signal.SIGKILL)
        self.fleet.wait_exit(home)
        status, content = self.fleet.send(SECOND, "k1", self.ticket, SLOW_TOKENS)
        self.assertEqual((status, self.verdict(content)), (502, "UNKNOWN"))
        self.assertEqual(self.fleet.total_runs("k1"), 1)


class TestPause(SignalCase):
    def test_agent_paused_then_waking(self):
        """An agent freezes with a request in flight, is given up, and wakes.

        While it sleeps its keys are run nowhere else; awake, it still has the one
        run's answer.
        """
        sent, home = self.begin("k1")
        self.fleet.signal(home, signal.SIGSTOP)
        self.assertEqual(sent.result()[0], 0)
        status, content = self.fleet.send(SECOND, "k1", self.ticket, SLOW_TOKENS)
        self.assertEqual((status, self.verdict(content)), (502, "UNKNOWN"))
        self.fleet.signal(home, signal.SIGCONT)
        wait_until(
            lambda: self.fleet.send(SECOND, "k1", self.ticket, SLOW_TOKENS)[0] == 200,
            "the answer is to be had again",
        )
        self.assertEqual(self.fleet.total_runs("k1"), 1)
        self.check_upstream_gone(home)

    def check_upstream_gone(self, home):
        """Kill the engine beside a living agent; its keys go on, once."""
        self.fleet.signal(f"upstream-{home}", signal.SIGKILL)
        self.fleet.wait_exit(f"upstream-{home}")
        ticket = decode_ticket(self.ticket)
        names = (f"n{number}" for number in itertools.count())
        key = next(one for one in names if ticket.rank(one)[0].home.host == home)
        self.assertEqual(self.fleet.send(SECOND, key, self.ticket)[0], 200)
        self.assertEqual(self.fleet.total_runs(key), 1)


class TestStop(SignalCase):
    def test_entry_and_agent_stopped_under_load(self):
        """An entry and an agent are stopped while members book.

        No request in flight is cut off, and no key is lost or run twice.
        """
        sent, home = self.begin("slow")
        keys = [f"k{number}" for number in range(40)]
        answers = [self.pool.submit(self.send_anywhere, key) for key in keys]
        wait_until(lambda: any(answer.done() for answer in answers), "load")
        self.fleet.signal(FIRST, signal.SIGTERM)
        self.fleet.signal(home, signal.SIGTERM)
        wait_until(self.is_sent_away, "a caller who kept the address is sent away")
        self.assertEqual(sent.result()[0], 200)
        self.assertEqual({answer.result()[0] for answer in answers}, {200})
        self.assertEqual(self.fleet.wait_exit(FIRST), 0)
        self.assertEqual(self.fleet.wait_exit(home), 0)
        counts = {key: self.fleet.total_runs(key) for key in ["slow", *keys]}
        self.assertEqual(set(counts.values()), {1}, counts)

    def is_sent_away(self):
        status, content = self.fleet.send(FIRST, "kept-address", self.ticket)
        return status == 503 and json.loads(content)["error"]["name"] == "LEAVING"

    def send_anywhere(self, key):
        """Send as a caller does: at the other entry when one doesn't answer."""
        for entry in (FIRST, SECOND):
            answer = self.fleet.send(entry, key, self.ticket)
            if answer[0] == 200:
                break
        return answer
