import unittest

from tests.deployment.targets import Target, decode_target, encode_target


class TestTargets(unittest.TestCase):
    def test_a_target_is_read_as_it_was_written(self):
        target = encode_target("/note/", 24, 60)
        self.assertEqual(target, "/note/24/60")
        self.assertEqual(decode_target(target), Target("/note/", 24, 60))

    def test_another_target_is_refused(self):
        for target in ("/health", "/note/24", "/note/24/soon"):
            with self.subTest(target), self.assertRaises(ValueError):
                decode_target(target)
