"""Tests of section ownership and of the age of values."""

import unittest

from berylhaven.blackboard import (
    Blackboard,
    Section,
    SectionEmptyError,
    SectionOwnedError,
)
from berylhaven.clock import ManualClock, monotonic_s

WORD_SECTION = Section[str]("word")


class BlackboardTest(unittest.TestCase):
    """A section has one writer, and readers get the age of its value."""

    def test_a_second_owner_is_rejected(self):
        blackboard = Blackboard()
        blackboard.claim(WORD_SECTION, "first")
        with self.assertRaises(SectionOwnedError):
            blackboard.claim(WORD_SECTION, "second")

    def test_a_reading_has_an_age(self):
        with ManualClock() as clock:
            blackboard = Blackboard()
            blackboard.claim(WORD_SECTION, "first").write("hello")
            clock.advance_s(3.0)
            reading = blackboard.read(WORD_SECTION)
            self.assertEqual(reading.value, "hello")
            self.assertAlmostEqual(reading.age_s(monotonic_s()), 3.0)

    def test_an_unwritten_section_has_no_value(self):
        blackboard = Blackboard()
        self.assertIsNone(blackboard.read(WORD_SECTION))
        with self.assertRaises(SectionEmptyError):
            blackboard.value(WORD_SECTION)
