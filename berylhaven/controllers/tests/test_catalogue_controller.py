"""Tests of evaluating catalogue candidates."""

import unittest
from types import SimpleNamespace

from absl import logging

from berylhaven.blackboard import Blackboard
from berylhaven.catalogue import CATALOGUE_REFUSAL_SECTION, CATALOGUE_SECTION
from berylhaven.clock import monotonic_s
from berylhaven.controllers._catalogue_candidates import (
    FETCHED_CATALOGUE_SECTION,
    WATCHED_CATALOGUE_SECTION,
    CatalogueCandidate,
)
from berylhaven.controllers._catalogue_controller import CatalogueController
from berylhaven.discovery import ConfigurationValue
from berylhaven.entry.tests._local_fleet import CATALOGUE
from berylhaven.exchange import UrgentSignal
from berylhaven.membership import PeerTable, watch_holders
from berylhaven.membership.tests.test_peer_table import announcement
from berylhaven.operations import MetricsRegistry

SECOND_CATALOGUE = CATALOGUE + b"# two\n"


class CatalogueControllerTest(unittest.TestCase):
    """No revision is active too early or replaced by an older one; faults show."""

    def setUp(self):
        logging.set_verbosity(logging.FATAL)
        self.blackboard = Blackboard()
        self.watched = self.blackboard.claim(WATCHED_CATALOGUE_SECTION, "watch")
        self.fetched = self.blackboard.claim(FETCHED_CATALOGUE_SECTION, "fetch")
        self.table = PeerTable("own:1")
        self.metrics = MetricsRegistry()
        self.signal = UrgentSignal()
        context = SimpleNamespace(
            blackboard=self.blackboard,
            peer_table=self.table,
            metrics=self.metrics,
            urgent_signal=self.signal,
        )
        self.controller = CatalogueController(context)

    def write_candidate(self, writer, version=None, raw=CATALOGUE):
        value = None if version is None else ConfigurationValue(version, raw)
        writer.write(CatalogueCandidate(value))
        self.controller.step()

    def conflict_metric(self):
        lines = self.metrics.render("")[0].splitlines()
        last = next(line for line in lines if line.startswith(b"berylhaven_cat"))
        return last.rsplit(b" ", 1)[1]

    def revision(self):
        reading = self.blackboard.read(CATALOGUE_SECTION)
        return reading.value.revision if reading else 0

    def test_no_revision_is_active_before_both_sources_were_queried(self):
        self.write_candidate(self.watched, 1)
        self.assertEqual(self.revision(), 0)
        self.write_candidate(self.fetched, 2, SECOND_CATALOGUE)
        self.assertEqual(self.revision(), 2)
        self.assertTrue(self.signal.wait(0))

    def test_older_candidates_of_either_source_change_nothing(self):
        self.write_candidate(self.fetched)
        self.write_candidate(self.watched, 2, SECOND_CATALOGUE)
        self.write_candidate(self.fetched, 1)
        self.write_candidate(self.watched, 1)
        self.assertEqual(self.revision(), 2)

    def test_a_faulty_revision_leaves_the_active_one(self):
        self.write_candidate(self.fetched)
        self.write_candidate(self.watched, 1)
        self.write_candidate(self.watched, 2, b"[fleet]\n")
        self.assertEqual(self.revision(), 1)
        self.assertEqual(self.blackboard.value(CATALOGUE_REFUSAL_SECTION).revision, 2)

    def test_a_peer_with_another_text_for_the_revision_sets_the_conflict_metric(self):
        self.write_candidate(self.fetched)
        self.write_candidate(self.watched, 1)
        self.assertEqual(self.conflict_metric(), b"0")
        other = announcement(catalogue_revision=1, catalogue_digest="0" * 16)
        self.table.merge(other, monotonic_s())
        self.controller.step()
        self.assertEqual(self.conflict_metric(), b"1")


class WatchHoldersTest(unittest.TestCase):
    """Two instances hold the watch; losing an instance replaces at most one of them."""

    def test_the_loss_of_one_instance_changes_at_most_one_holder(self):
        fleet = {f"10.0.0.{n}:1" for n in range(20)}
        holders = watch_holders(fleet)
        self.assertEqual(len(holders), 2)
        for lost in fleet:
            left = watch_holders(fleet - {lost})
            self.assertGreaterEqual(len(left & holders), 1)
            if lost not in holders:
                self.assertEqual(left, holders)
