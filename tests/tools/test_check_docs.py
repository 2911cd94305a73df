import enum
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import check_docs

PAGE = """
| Code | Name | Meaning |
| --- | --- | --- |
| 0 | `OK` | No fault. |
| 100 | `BAD_REQUEST` | Malformed. |
"""


class Fault(enum.IntEnum):
    OK = 0
    BAD_REQUEST = 100


class TestCompare(unittest.TestCase):
    def test_page_and_source_agree(self):
        known = check_docs.enum_names(Fault)
        found = check_docs.compare(known, check_docs.numbered_rows(PAGE))
        self.assertEqual(found, ([], []))

    def test_member_without_a_row(self):
        rows = check_docs.numbered_rows(PAGE.replace("| 100 |", "| - |"))
        found = check_docs.compare(check_docs.enum_names(Fault), rows)
        self.assertEqual(found, (["100 BAD_REQUEST"], []))

    def test_row_without_a_member(self):
        rows = check_docs.numbered_rows(PAGE + "| 101 | `GONE` | Was here. |\n")
        found = check_docs.compare(check_docs.enum_names(Fault), rows)
        self.assertEqual(found, ([], ["101 GONE"]))

    def test_row_with_another_number_is_both(self):
        rows = check_docs.numbered_rows(PAGE.replace("| 100 |", "| 110 |"))
        found = check_docs.compare(check_docs.enum_names(Fault), rows)
        self.assertEqual(found, (["100 BAD_REQUEST"], ["110 BAD_REQUEST"]))


class TestMetricNames(unittest.TestCase):
    def test_whole_strings_only(self):
        source = '"""Of fuchsiahatch_x."""\nA = Counter("fuchsiahatch_requests_total")'
        self.assertEqual(
            check_docs.metric_names(source), ["fuchsiahatch_requests_total"]
        )

    def test_rows_of_a_page(self):
        page = "| `fuchsiahatch_requests_total` | counter | | Requests. |\n"
        self.assertEqual(check_docs.named_rows(page), ["fuchsiahatch_requests_total"])
