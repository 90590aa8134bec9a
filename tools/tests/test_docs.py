"""Tests that the pages match the source."""

import pathlib
import re
import unittest

from berylhaven.cli._registry import registered_commands
from tools.make_docs import pages

METRIC_PATTERN = re.compile(r'"berylhaven_(\w+)"')
OWN_METRIC_PATTERN = re.compile(r'_(?:gauge|counter)\(\s*"(\w+)"')


class DocsTest(unittest.TestCase):
    """Generated pages are up to date, and pages cover all metrics and commands."""

    def test_generated_pages_are_up_to_date(self):
        for path, text in pages().items():
            with self.subTest(str(path)):
                self.assertEqual(path.read_text(), text, "run `make docs`")

    def test_every_metric_has_a_row(self):
        page = pathlib.Path("docs/operators/metrics.md").read_text()
        names = set()
        for path in pathlib.Path("berylhaven").rglob("*.py"):
            if "tests" not in path.parts:
                names.update(METRIC_PATTERN.findall(path.read_text()))
                names.update(OWN_METRIC_PATTERN.findall(path.read_text()))
        self.assertGreater(len(names), 10)
        for name in sorted(names):
            with self.subTest(name):
                self.assertIn(f"`berylhaven_{name}`", page)

    def test_every_command_is_in_the_readme_or_a_page(self):
        text = "".join(p.read_text() for p in pathlib.Path("docs").rglob("*.md"))
        for words in registered_commands():
            self.assertIn("berylhaven " + " ".join(words), text)
