import asyncio
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from fuchsiahatch_standins.fleet_store import FleetStore
from tests.adapter.test_decoding import SETTINGS
from tests.gateway.sites import make_configuration
from tests.loopback import run


def call(*words):
    command = [sys.executable, "-m", "fuchsiahatch_gateway.inspection", *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


class TestChecks(unittest.TestCase):
    def check(self, verb, document):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "file.json"
            path.write_text(json.dumps(document), "utf-8")
            return call(verb, str(path))

    def test_valid_and_invalid_files(self):
        found = self.check("check_settings", SETTINGS)
        self.assertEqual(found.returncode, 0, found.stderr)
        found = self.check("check_settings", {})
        self.assertEqual(found.returncode, 1)
        self.assertIn("400", found.stderr)
        found = self.check("check_configuration", make_configuration())
        self.assertEqual(found.returncode, 0, found.stderr)
        found = self.check(
            "check_configuration", {**make_configuration(), "services": []}
        )
        self.assertEqual(found.returncode, 1)
        self.assertIn("svc", found.stderr)


class TestExplain(unittest.TestCase):
    def test_an_id_of_digits_is_not_parsed_as_a_number(self):
        line = {"message_type": "request_ended", "request": "12e4", "t_ms": 5}
        text = json.dumps({**line, "node": "front-1", "end": "502"})
        command = [sys.executable, "-m", "fuchsiahatch_gateway.inspection"]
        found = subprocess.run(
            [*command, "explain", "12e4"],
            input=text,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertIn("request ended", found.stdout)


class TestStatus(unittest.TestCase):
    def test_status_shows_what_the_store_holds(self):
        async def ask():
            store = FleetStore()
            port = await store.listen()
            store.put("op/config", make_configuration(7))
            store.put("fuchsiahatch-entries/e-1", {"zone": "a", "callers": "1:2"})
            store.put("fuchsiahatch/leaders/g-1", {"node": "s-1"})
            store.put("servers/i-1", {"service": "svc", "state": "ready"})
            held = {"held": True, "upstreams": ["i-1@5", "i-2@7"]}
            store.put("fuchsiahatch-held/f-1", held)
            store.put("op/evacuate/kl-a", b"\xff, not JSON")
            store.put("fuchsiahatch-held/f-2", {"held": False, "upstreams": []})
            loop = asyncio.get_running_loop()
            address = f"127.0.0.1:{port}"
            found = await loop.run_in_executor(None, call, "status", address)
            plain = await loop.run_in_executor(
                None, call, "status", address, "--as_json"
            )
            await store.close()
            return found, plain

        found, plain = run(ask())
        self.assertIn("configuration: version 7", found.stdout)
        self.assertIn("entry e-1: a 1:2", found.stdout)
        self.assertIn("group g-1: led by s-1", found.stdout)
        self.assertIn("upstream i-1: svc None None ready", found.stdout)
        self.assertIn("held request f-1: crashed i-1@5 i-2@7", found.stdout)
        self.assertIn("zone kl-a: drained", found.stdout)
        self.assertNotIn("f-2", found.stdout)
        self.assertEqual(json.loads(plain.stdout)["version"], 7)

    def test_status_without_a_store_fails(self):
        found = call("status", "127.0.0.1:9")
        self.assertEqual(found.returncode, 2)
        self.assertIn("404 SERVICE_UNAVAILABLE", found.stderr)
