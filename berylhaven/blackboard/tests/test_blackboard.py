"""Tests of section ownership and of the age of what is read."""

import unittest

from berylhaven.blackboard import (
    Blackboard,
    Section,
    SectionEmptyError,
    SectionOwnedError,
)
from berylhaven.clock import ManualClock, monotonic_s

WORD = Section[str]("word")


class BlackboardTest(unittest.TestCase):
    """A section has one writer, and readers see how old its value is."""

    def test_a_second_writer_is_refused(self):
        blackboard = Blackboard()
        blackboard.claim(WORD, "first")
        with self.assertRaises(SectionOwnedError):
            blackboard.claim(WORD, "second")

    def test_a_reading_tells_its_age(self):
        with ManualClock() as clock:
            blackboard = Blackboard()
            blackboard.claim(WORD, "first").write("hello")
            clock.advance_s(3.0)
            reading = blackboard.read(WORD)
            self.assertEqual(reading.value, "hello")
            self.assertAlmostEqual(reading.age_s(monotonic_s()), 3.0)

    def test_an_unwritten_section_has_no_value(self):
        blackboard = Blackboard()
        self.assertIsNone(blackboard.read(WORD))
        with self.assertRaises(SectionEmptyError):
            blackboard.value(WORD)
