import contextlib
import io
import pathlib
import runpy
import unittest

from tests.golden import check_golden

EXAMPLE = pathlib.Path(__file__).parents[2] / "docs" / "examples" / "embed_placement.py"


class TestExample(unittest.TestCase):
    def test_runs_as_its_page_says(self):
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            runpy.run_path(str(EXAMPLE), run_name="__main__")
        check_golden(__file__, "example", printed.getvalue().splitlines())
