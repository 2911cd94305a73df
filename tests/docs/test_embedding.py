import doctest
import pathlib
import unittest

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs/embedding.md"


class TestEmbeddingPage(unittest.TestCase):
    def test_examples_run_as_shown(self):
        failed, tried = doctest.testfile(str(PAGE), module_relative=False)
        self.assertEqual(failed, 0)
        self.assertGreater(tried, 0)
