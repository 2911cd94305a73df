import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import make_settings_page

SCHEMA = {
    "required": ["listen"],
    "properties": {
        "listen": {
            "type": "object",
            "required": ["address"],
            "properties": {"address": {"$ref": "#/$defs/address", "description": "A."}},
        },
        "limit": {"type": "integer", "minimum": 1, "default": 32},
    },
    "$defs": {"address": {"type": "string", "pattern": "^a|b$"}},
}


class TestSchemaRows(unittest.TestCase):
    def setUp(self):
        rows = make_settings_page.schema_rows(SCHEMA, SCHEMA["$defs"])
        self.by_path = {row.path: row for row in rows}

    def test_nested_settings_have_a_path(self):
        self.assertEqual(list(self.by_path), ["listen", "listen.address", "limit"])

    def test_references_are_followed_and_bars_escaped(self):
        row = self.by_path["listen.address"]
        self.assertEqual((row.kind, row.needed, row.meaning), ("string", True, "A."))
        self.assertEqual(row.allowed, "pattern `^a\\|b$`")

    def test_bounds_and_default(self):
        row = self.by_path["limit"]
        self.assertEqual((row.default, row.allowed), ("32", "at least 1"))
        self.assertFalse(row.needed)
