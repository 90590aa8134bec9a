"""Tests that the revision in force never goes back."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.catalogue import RevisionStatus, RevisionTracker

OFFERS = st.lists(
    st.tuples(st.integers(-1, 6), st.sampled_from(["a", "b"]), st.booleans())
)


class RevisionKeeperTest(unittest.TestCase):
    """The highest revision wins, in whatever order they are offered."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(OFFERS)
    def test_it_never_goes_back_and_takes_the_highest_sound_one(self, offers):
        keeper = RevisionTracker()
        best = 0
        refused = 0
        for revision, digest, is_sound in offers:
            before = keeper.active_revision
            if keeper.compare(revision, digest) is RevisionStatus.NEW:
                self.assertGreater(revision, max(best, refused))
                if is_sound:
                    keeper.activate(revision, digest)
                    best = revision
                else:
                    keeper.record_rejected(revision, digest)
                    refused = revision
            self.assertGreaterEqual(keeper.active_revision, before)
            self.assertEqual(keeper.active_revision, best)
        self.assertEqual(keeper.known_revision, max(best, refused))

    def test_a_refused_revision_is_not_read_again(self):
        keeper = RevisionTracker()
        keeper.activate(1, "a")
        keeper.record_rejected(2, "b")
        self.assertIs(keeper.compare(2, "b"), RevisionStatus.KNOWN)
        self.assertEqual(keeper.known_revision, 2)
        self.assertIs(keeper.compare(3, "c"), RevisionStatus.NEW)

    def test_one_revision_with_two_texts_is_a_conflict(self):
        keeper = RevisionTracker()
        keeper.activate(1, "a")
        self.assertIs(keeper.compare(1, "a"), RevisionStatus.KNOWN)
        self.assertIs(keeper.compare(1, "b"), RevisionStatus.CONFLICT)
        with self.assertRaises(ValueError):
            keeper.activate(1, "b")
