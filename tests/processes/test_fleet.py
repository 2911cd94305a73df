import itertools
import socket
import time
import unittest

from fuchsiahatch_standins import ports
from tests.processes import fleet, groups


class TestFleet(unittest.TestCase):
    def test_a_daemon_whose_port_is_taken_ends_with_an_error_and_is_named(self):
        # It ended with status 0, and its fleet was waited for in vain.
        one = fleet.Fleet()
        self.addCleanup(one.stop)
        address = one.settings["engine-kl-a"]["listen"]["rpc_address"]
        ip, _, port = address.partition(":")
        began_s = time.monotonic()
        with socket.create_server((ip, int(port))):
            with self.assertRaisesRegex(AssertionError, "engine-kl-a has ended"):
                one.start()
        self.assertLess(time.monotonic() - began_s, fleet._BOUND_S)
        self.assertEqual(one.processes["engine-kl-a"].returncode, 1)

    def test_fleets_groups_and_single_roles_share_no_ports(self):
        first = ports._FIRST_PORT
        single = set(range(first, first + ports._PORTS))
        in_fleets = {
            base + offset for base in fleet._BASE_PORTS for offset in range(310)
        }
        in_groups = {
            base + offset for base in groups._BASE_PORTS for offset in range(40)
        }
        for one, other in itertools.combinations((single, in_fleets, in_groups), 2):
            self.assertFalse(one & other)


if __name__ == "__main__":
    unittest.main()
