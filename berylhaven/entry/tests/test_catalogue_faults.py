"""Tests of the catalogue while the configuration service fails."""

import unittest

from absl import logging

from berylhaven.clock import monotonic_s
from berylhaven.controllers._catalogue_watch_controller import WATCH_TIMEOUT_S
from berylhaven.entry.tests._local_fleet import LocalFleet

KEY = "berylhaven%2Fcatalogue"


class CatalogueFaultsTest(unittest.TestCase):
    """The highest revision is active on all instances and is never replaced by an
    older one."""

    def setUp(self):
        logging.set_verbosity(logging.FATAL)
        self.started_at_s = monotonic_s()
        self.fleet = LocalFleet(entry_count=3)
        self.addCleanup(self.fleet.stop)
        self.fleet.wait_until_ready()

    def publish(self, raw):
        self.fleet.configuration.put(KEY, raw)

    def revisions(self):
        found = []
        for instance in self.fleet.instances:
            catalogue = instance.status()["catalogue"]
            found.append(catalogue["revision"] if catalogue else 0)
        return found

    def wait_for(self, revision):
        self.fleet.wait_until(lambda: self.revisions() == [revision] * 3)

    def restart(self, index):
        self.fleet.instances[index].stop()
        self.fleet.instances[index] = self.fleet.start_entry(index)

    def test_a_new_instance_starts_from_peers_while_the_service_is_down(self):
        self.publish(self.fleet.catalogue + b"# two\n")
        self.wait_for(2)
        self.fleet.configuration.faults.set({"is_down": True})
        self.restart(1)
        self.wait_for(2)

    def test_a_stale_service_makes_no_running_or_new_instance_go_back(self):
        self.publish(self.fleet.catalogue + b"# two\n")
        self.wait_for(2)
        self.fleet.configuration.faults.set({"stale_versions": 1})
        reads = self.fleet.configuration.read_count
        self.restart(2)
        self.fleet.wait_until(lambda: self.revisions()[2] > 0)
        # The new instance first activates the fleet's revision, not the stale one.
        self.assertGreater(self.fleet.configuration.read_count, reads)
        self.assertEqual(self.revisions(), [2, 2, 2])

    def test_a_rejected_revision_stays_inactive_is_shown_and_is_not_read_again(self):
        self.publish(b"[fleet]\nx = 1\n")
        instances = self.fleet.instances

        def refusals():
            return [i.status()["catalogue_refused"] for i in instances]

        self.fleet.wait_until(lambda: any(refusals()))
        self.assertEqual(self.revisions(), [1, 1, 1])
        shown = next(refusal for refusal in refusals() if refusal)
        self.assertEqual(shown["revision"], 2)
        self.publish(self.fleet.catalogue + b"# three\n")
        self.wait_for(3)
        # Each instance reads each of the two changes by its watch, and no read is
        # repeated, except for watches that timed out without a change because the
        # machine was so busy that the test took that long.
        timed_out_watches = int((monotonic_s() - self.started_at_s) / WATCH_TIMEOUT_S)
        allowed_reads = 3 * (4 + timed_out_watches)
        self.assertLessEqual(self.fleet.configuration.read_count, allowed_reads)
