"""Tests that the active revision never decreases."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.catalogue import RevisionStatus, RevisionTracker

OFFERS = st.lists(
    st.tuples(st.integers(-1, 6), st.sampled_from(["a", "b"]), st.booleans())
)


class RevisionKeeperTest(unittest.TestCase):
    """The highest valid revision becomes active, whatever the order of offers."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(OFFERS)
    def test_the_highest_valid_revision_is_active(self, offers):
        tracker = RevisionTracker()
        highest_active = 0
        highest_rejected = 0
        for revision, digest, is_valid in offers:
            previous = tracker.active_revision
            if tracker.compare(revision, digest) is RevisionStatus.NEW:
                self.assertGreater(revision, max(highest_active, highest_rejected))
                if is_valid:
                    tracker.activate(revision, digest)
                    highest_active = revision
                else:
                    tracker.record_rejected(revision, digest)
                    highest_rejected = revision
            self.assertGreaterEqual(tracker.active_revision, previous)
            self.assertEqual(tracker.active_revision, highest_active)
        self.assertEqual(tracker.known_revision, max(highest_active, highest_rejected))

    def test_a_rejected_revision_is_not_new_again(self):
        tracker = RevisionTracker()
        tracker.activate(1, "a")
        tracker.record_rejected(2, "b")
        self.assertIs(tracker.compare(2, "b"), RevisionStatus.KNOWN)
        self.assertEqual(tracker.known_revision, 2)
        self.assertIs(tracker.compare(3, "c"), RevisionStatus.NEW)

    def test_one_revision_with_two_texts_is_a_conflict(self):
        tracker = RevisionTracker()
        tracker.activate(1, "a")
        self.assertIs(tracker.compare(1, "a"), RevisionStatus.KNOWN)
        self.assertIs(tracker.compare(1, "b"), RevisionStatus.CONFLICT)
        with self.assertRaises(ValueError):
            tracker.activate(1, "b")
