"""Tests that docs/PROMISES.md names tests that exist."""

import pathlib
import re
import unittest

PROMISES = pathlib.Path("docs/PROMISES.md")
TEST_NAME_PATTERN = re.compile(r"`[^`]*?(test_\w+\*?)(?:\.py)?`")


class PromisesTest(unittest.TestCase):
    """The test of each promise exists, also after tests are renamed or removed."""

    def test_each_named_test_exists(self):
        files = [
            path
            for package in ("berylhaven", "bench", "tools", "standins", "platform")
            for path in pathlib.Path(package).rglob("test_*.py")
        ]
        known = {path.stem for path in files}
        for path in files:
            known.update(re.findall(r"def (test_\w+)", path.read_text()))
        named = TEST_NAME_PATTERN.findall(PROMISES.read_text())
        self.assertGreater(len(named), 40)
        for name in named:
            with self.subTest(test=name):
                stem = name.rstrip("*")
                matches = [known_name for known_name in known if known_name == stem]
                if name.endswith("*"):
                    matches = [n for n in known if n.startswith(stem)]
                self.assertTrue(matches)
