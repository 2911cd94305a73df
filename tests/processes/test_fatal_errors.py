import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

from fuchsiahatch_core.events import Event
from fuchsiahatch_gateway.process import METRICS_PORT
from fuchsiahatch_standins.platform_demo import make_settings
from tests.processes.entries import PORTS

#: An address of its own, as other tests' entries may be ending.
IP = "127.0.7.83"
LIMIT_S = 20


class TestFatalErrors(unittest.TestCase):
    def test_an_error_that_ends_the_process_has_a_line(self):
        with tempfile.TemporaryDirectory() as folder, socket.socket() as taken:
            taken.bind((IP, METRICS_PORT))
            taken.listen()
            path = pathlib.Path(folder) / "node.json"
            listen = {name: f"{IP}:{port}" for name, port in PORTS.items()}
            settings = make_settings(
                1, IP, node="front-1", role="entry", listen=listen
            ) | {"internalPorts": [17_360, 17_375]}
            path.write_text(json.dumps(settings), "utf-8")
            ended = subprocess.run(
                [sys.executable, "-m", "fuchsiahatch_gateway.main", "entry"],
                env={**os.environ, "FUCHSIAHATCH_NODE_FILE": str(path)},
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                timeout=LIMIT_S,
                check=False,
            )
        lines = [json.loads(line) for line in ended.stdout.splitlines()]
        faults = [one for one in lines if one["event"] == Event.INTERNAL_ERROR]
        self.assertIn("the process ends: CannotListenError", faults[-1]["detail"])
        self.assertNotEqual(ended.returncode, 0)


if __name__ == "__main__":
    unittest.main()
