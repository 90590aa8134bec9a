"""Tests of settings that change while an instance runs."""

import tempfile
import unittest
from pathlib import Path

import eventlet

from berylhaven.event_log import EventLog
from berylhaven.gateway import InvalidGatewaySettings, SettingsFile
from berylhaven.gateway._gateway_instance import SETTINGS_CHECK_INTERVAL_S
from berylhaven.gateway.tests._gateway_path import GatewayPath, request_bytes

# The signal is handled in the next iteration of the instance's loop.
SOON_S = 0.3


class SettingsFileTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.file_path = Path(directory.name) / "gateway.ini"
        self.path = GatewayPath(settings_path=self.file_path)
        self.addCleanup(self.path.stop)

    def change(self, before, after):
        text = self.file_path.read_text()
        self.assertIn(before, text)
        self.file_path.write_text(text.replace(before, after))

    def grace_s(self):
        return self.path.instance._settings.drain.grace_s

    def test_a_signal_activates_changed_settings_and_keeps_connections(self):
        with self.path.connect() as caller:
            caller.send(request_bytes("/read/x"))
            self.change("grace_s = 3", "grace_s = 5")
            self.change("address = 127.0.0.1:1\n", "address = 127.0.0.1:2\n")
            self.path.instance.reload()
            self.assertEqual(caller.answer().status, 200)
            eventlet.sleep(SOON_S)
            self.assertEqual(caller.exchange("/read/x").status, 200)
        self.assertEqual(self.grace_s(), 5)
        self.assertEqual(self.path.source.new_settings.address, "127.0.0.1:2")

    def test_a_change_without_a_signal_is_detected_in_time(self):
        self.change("grace_s = 3", "grace_s = 5")
        eventlet.sleep(SETTINGS_CHECK_INTERVAL_S + SOON_S)
        self.assertEqual(self.grace_s(), 5)

    def test_invalid_settings_leave_the_previous_ones_active(self):
        self.change("grace_s = 3", "grace_s = soon")
        self.path.instance.reload()
        eventlet.sleep(SOON_S)
        self.assertEqual(self.grace_s(), 3)
        self.file_path.unlink()
        self.path.instance.reload()
        eventlet.sleep(SOON_S)
        self.assertEqual(self.grace_s(), 3)

    def test_a_huge_file_is_not_read_into_memory(self):
        # 100 MB of comments took 314 MB, and held the instance for a second.
        settings_file = SettingsFile(str(self.file_path))
        self.change("grace_s = 3", "grace_s = 5")
        with self.file_path.open("a") as file:
            file.write("; comment\n" * 110_000)
        self.assertIsNone(settings_file.reread(EventLog()))
        self.assertEqual(settings_file.settings.drain.grace_s, 3)

    def test_addresses_and_names_stay_for_the_whole_run(self):
        self.change("name = one", "name = two")
        self.change("grace_s = 3", "grace_s = 5")
        self.path.instance.reload()
        eventlet.sleep(SOON_S)
        self.assertEqual(self.path.instance._settings.instance.name, "one")
        self.assertEqual(self.grace_s(), 5)

    def test_an_invalid_file_at_the_start_is_reported_with_all_problems(self):
        self.file_path.write_text("[instance]\nname = one\n")
        with self.assertRaises(InvalidGatewaySettings) as caught:
            SettingsFile(str(self.file_path))
        self.assertGreater(len(caught.exception.exceptions), 1)
