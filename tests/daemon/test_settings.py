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


class SettingsCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"

    def read(self, document):
        self.path.write_text(json.dumps(document), "utf-8")
        return read_settings(str(self.path))


class TestReadSettings(SettingsCase):
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


class TestGroup(SettingsCase):
    GROUP = {
        "name": "ranks-1",
        "rank": 0,
        "members": [{"host": "engine-1", "rpc_address": "127.0.0.1:18101"}],
        "engine_fences": False,
    }

    def test_a_group_is_typed_with_its_defaults(self):
        settings = self.read({**GOOD, "group": self.GROUP})
        self.assertEqual(settings.group.members[0].host, "engine-1")
        self.assertEqual(settings.group.silence_ms, 2_000)

    def test_whether_the_engine_fences_has_to_be_said(self):
        group = {
            name: value for name, value in self.GROUP.items() if name != "engine_fences"
        }
        with self.assertRaises(SettingsError) as seen:
            self.read({**GOOD, "group": group})
        self.assertEqual(seen.exception.path, "group")
