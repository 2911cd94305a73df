import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

from fuchsiahatch_standins.platform_demo import make_settings

NO_STORE = 9
#: Run by its path, as these tests have a reactor of their own.
PROGRAM = pathlib.Path(__file__).with_name("stepped_time.py")


class TestTimeOfDay(unittest.TestCase):
    def test_a_jump_neither_ends_nor_prolongs_what_waits_behind_an_answer(self):
        # A step forward reset answers that callers hadn't read, a step back outlasted
        # the grace of a stop.
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            path.write_text(json.dumps(make_settings(NO_STORE, "127.0.0.1")), "utf-8")
            played = subprocess.run(
                [sys.executable, str(PROGRAM)],
                env={**os.environ, "FUCHSIAHATCH_NODE_FILE": str(path)},
                stdout=subprocess.PIPE,
                timeout=30,
                check=True,
                text=True,
            )
        self.assertEqual(played.stdout.split(), ["True", "False"])


if __name__ == "__main__":
    unittest.main()
