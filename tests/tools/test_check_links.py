import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import check_links


class TestBrokenLinks(unittest.TestCase):
    def broken(self, text):
        with tempfile.TemporaryDirectory() as name:
            page = pathlib.Path(name) / "page.md"
            page.write_text(text, "utf-8")
            return check_links.broken_links(page)

    def test_link_to_nothing(self):
        self.assertEqual(self.broken("[a](gone.md#part)"), ["gone.md#part"])

    def test_links_to_a_file_a_part_and_elsewhere(self):
        text = "[a](page.md#x) [b](#part) [c](https://example.org/x)"
        self.assertEqual(self.broken(text), [])


class TestOrphans(unittest.TestCase):
    def test_page_that_no_page_links_to(self):
        with tempfile.TemporaryDirectory() as name:
            docs = pathlib.Path(name) / "docs"
            docs.mkdir()
            (docs / "index.md").write_text("[a](found.md#part)", "utf-8")
            (docs / "found.md").write_text("[i](index.md)", "utf-8")
            (docs / "lost.md").write_text("[i](index.md)", "utf-8")
            found = [page.name for page in check_links.orphans(pathlib.Path(name))]
        self.assertEqual(found, ["lost.md"])
