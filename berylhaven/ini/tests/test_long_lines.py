"""Tests that hostile INI text takes time in proportion to its length."""

import time
import unittest
from unittest import mock

from berylhaven.ini import _located_parser
from berylhaven.ini._located_parser import LocatedParser
from berylhaven.ini._value_kinds import parse_number

LENGTH = 60_000
# A number of 32,000 digits took 36 s, and rose with the square of the length.
LIMIT_S = 3.0


class LongLineTest(unittest.TestCase):
    def setUp(self):
        self.began_s = time.monotonic()

    def tearDown(self):
        self.assertLess(time.monotonic() - self.began_s, LIMIT_S)

    def test_a_long_number_with_another_character(self):
        for text in ("1" * LENGTH + "x", "." + "1" * LENGTH + "x"):
            with self.assertRaises(ValueError):
                parse_number(text)

    def test_a_key_with_many_spaces(self):
        spaces = " " * LENGTH
        parser = LocatedParser()
        unreadable = parser.read_located(f"[a]\nb{spaces}c\nb{spaces}c = 1\nd = 2\n")
        self.assertEqual([line for line, _ in unreadable], [2, 3])
        self.assertEqual(parser.get("a", "d"), "2")

    def test_others_may_run_after_each_line(self):
        with mock.patch.object(_located_parser, "end_long_turn") as end_long_turn:
            LocatedParser().read_located("[a]\n" + "b = 1\n" * 1_000)
        self.assertGreaterEqual(end_long_turn.call_count, 1_000)
