"""Tests of the catalogue while the configuration service fails."""

import unittest

from absl import logging

from berylhaven.clock import monotonic_s
from berylhaven.controllers._catalogue_watch_controller import WATCH_TIMEOUT_S
from berylhaven.entry.tests._local_fleet import LocalFleet

KEY = "berylhaven%2Fcatalogue"


class CatalogueFaultsTest(unittest.TestCase):
    """The highest revision is in force everywhere and never goes back."""

    def setUp(self):
        logging.set_verbosity(logging.FATAL)
        self.started_at_s = monotonic_s()
        self.path = LocalFleet(entry_count=3)
        self.addCleanup(self.path.stop)
        self.path.wait_until_ready()

    def publish(self, raw):
        self.path.configuration.put(KEY, raw)

    def revisions(self):
        found = []
        for instance in self.path.instances:
            catalogue = instance.status()["catalogue"]
            found.append(catalogue["revision"] if catalogue else 0)
        return found

    def wait_for(self, revision):
        self.path.wait_until(lambda: self.revisions() == [revision] * 3)

    def restart(self, index):
        self.path.instances[index].stop()
        self.path.instances[index] = self.path.start_entry(index)

    def test_a_fresh_instance_starts_from_peers_while_the_service_is_down(self):
        self.publish(self.path.catalogue + b"# two\n")
        self.wait_for(2)
        self.path.configuration.faults.set({"is_down": True})
        self.restart(1)
        self.wait_for(2)

    def test_a_stale_service_takes_nobody_back_and_no_fresh_instance_either(self):
        self.publish(self.path.catalogue + b"# two\n")
        self.wait_for(2)
        self.path.configuration.faults.set({"stale_versions": 1})
        reads = self.path.configuration.read_count
        self.restart(2)
        self.path.wait_until(lambda: self.revisions()[2] > 0)
        # The first that a fresh instance puts in force is the fleet's, not the stale.
        self.assertGreater(self.path.configuration.read_count, reads)
        self.assertEqual(self.revisions(), [2, 2, 2])

    def test_a_refused_revision_stays_out_is_shown_and_is_not_read_again(self):
        self.publish(b"[fleet]\nx = 1\n")
        instances = self.path.instances

        def refusals():
            return [i.status()["catalogue_refused"] for i in instances]

        self.path.wait_until(lambda: any(refusals()))
        self.assertEqual(self.revisions(), [1, 1, 1])
        shown = next(refusal for refusal in refusals() if refusal)
        self.assertEqual(shown["revision"], 2)
        self.publish(self.path.catalogue + b"# three\n")
        self.wait_for(3)
        # Each of the two changes is read by a watch of each, and no reading repeats,
        # but for watches that ran out without a change, on a machine so busy that the
        # test took that long.
        ran_out = int((monotonic_s() - self.started_at_s) / WATCH_TIMEOUT_S)
        allowed = 3 * (4 + ran_out)
        self.assertLessEqual(self.path.configuration.read_count, allowed)
