import json
import pathlib
import tempfile
import unittest

from fuchsiahatch_core.exceptions import SettingsError
from fuchsiahatch_daemon.settings import read_settings

GOOD = {
    "role": "entry",
    "host": "entry-1",
    "zone": "kl-a",
    "region": "klang-valley",
    "listen": {"http_address": "127.0.0.1:18000", "rpc_address": "127.0.0.1:18100"},
    "platform": {
        "key_value_url": "http://127.0.0.1:18300",
        "host_list_url": "http://127.0.0.1:18301",
    },
}


class TestReadSettings(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"

    def read(self, document):
        self.path.write_text(json.dumps(document), "utf-8")
        return read_settings(str(self.path))

    def test_good_settings_are_typed(self):
        settings = self.read(GOOD)
        self.assertEqual(settings.segment, "main")
        self.assertEqual(settings.platform_timeout_ms, 1_000)

    def test_fault_names_path_value_and_what_is_allowed(self):
        with self.assertRaises(SettingsError) as seen:
            self.read({**GOOD, "listen": {**GOOD["listen"], "rpc_address": "here"}})
        self.assertEqual(seen.exception.path, "listen.rpc_address")
        self.assertEqual(seen.exception.value, "here")

    def test_agent_needs_an_upstream(self):
        with self.assertRaises(SettingsError):
            self.read({**GOOD, "role": "agent"})

    def test_file_that_is_not_json(self):
        self.path.write_text("role: entry", "utf-8")
        with self.assertRaises(SettingsError):
            read_settings(str(self.path))
