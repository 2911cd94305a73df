import concurrent.futures
import json
import signal
import unittest

from fuchsiahatch_core.codes import Code
from tests.processes.fleet import HOSTS, Fleet


class TestKeysWithoutTicket(unittest.TestCase):
    def test_one_run_by_way_of_both_entries_and_none_in_an_outage(self):
        """Two tries of one hold reach two entries at once, without a ticket.

        Both must come to one run. Then the service dies: a key that can't be bound
        is not started, since its next try could choose another home, and what has a
        ticket is served.
        """
        fleet = Fleet()
        self.addCleanup(fleet.stop)
        fleet.start()
        keys = [f"k{number}" for number in range(8)]
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            sent = [
                pool.submit(fleet.send, entry, key, "")
                for key in keys
                for entry in HOSTS[:2]
            ]
            statuses = {answer.result()[0] for answer in sent}
        self.assertEqual(statuses, {200})
        counts = {key: fleet.total_runs(key) for key in keys}
        self.assertEqual(set(counts.values()), {1}, counts)
        ticket = fleet.look_up(HOSTS[0])["ticket"]
        fleet.signal("key-value", signal.SIGKILL)
        fleet.wait_exit("key-value")
        status, content = fleet.send(HOSTS[0], "unbound", "")
        self.assertEqual(status, 503)
        error = json.loads(content)["error"]
        self.assertEqual(error["code"], Code.SERVICE_UNAVAILABLE)
        self.assertEqual((error["verdict"], error["scope"]), ("NOT_RUN", "attempt"))
        self.assertEqual(fleet.total_runs("unbound"), 0)
        self.assertEqual(fleet.send(HOSTS[1], "with-ticket", ticket)[0], 200)
