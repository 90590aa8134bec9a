"""Tests of watching the configuration service."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

from absl import logging

from berylhaven.blackboard import Blackboard
from berylhaven.clock import ManualClock
from berylhaven.controllers import _catalogue_watch_controller
from berylhaven.controllers._catalogue_candidates import WATCHED_CATALOGUE_SECTION
from berylhaven.controllers._catalogue_watch_controller import CatalogueWatchController
from berylhaven.discovery import ConfigurationValue, PlatformUnavailable
from berylhaven.membership import PeerTable


class FakeConfigurationService:
    """Returns a value to watches from a lower version; records their versions."""

    def __init__(self):
        self.value = ConfigurationValue(7, b"text")
        self.watched_versions = []
        self.is_down = False

    def watch(self, after_version, wait_s):
        self.watched_versions.append(after_version)
        if self.is_down:
            raise PlatformUnavailable("down")
        return self.value if self.value.version > after_version else None


class CatalogueWatchControllerTest(unittest.TestCase):
    """No value is read twice, although its evaluation may take a while."""

    def setUp(self):
        logging.set_verbosity(logging.FATAL)
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.service = FakeConfigurationService()
        self.blackboard = Blackboard()
        self.controller = CatalogueWatchController(
            SimpleNamespace(
                blackboard=self.blackboard,
                settings=SimpleNamespace(
                    instance=SimpleNamespace(data_centre="a", peers_address="own:1")
                ),
                peer_table=PeerTable("own:1"),
                local_instance=SimpleNamespace(is_leaving=False),
                configuration_service=self.service,
                random=random.Random(1),
            )
        )
        sleep = mock.patch.object(_catalogue_watch_controller, "sleep_s")
        sleep.start()
        self.addCleanup(sleep.stop)

    def candidate(self):
        return self.blackboard.read(WATCHED_CATALOGUE_SECTION).value.value

    def test_a_value_that_is_not_evaluated_yet_is_not_read_again(self):
        for _ in range(3):
            self.controller.step()
            # The budget of reads allows the next one.
            self.clock.advance_s(60.0)
        self.assertEqual(self.service.watched_versions, [0, 7, 7])
        self.assertEqual(self.candidate(), self.service.value)

    def test_a_value_that_is_not_evaluated_yet_survives_a_failed_read(self):
        self.controller.step()
        self.clock.advance_s(60.0)
        self.service.is_down = True
        self.controller.step()
        self.assertEqual(self.candidate(), self.service.value)
