"""Tests of checking a settings file."""

import unittest

from berylhaven.settings import SettingsRefused, read_settings

GOOD = """\
[instance]
host = 127.0.0.1
callers_port = 8080
peers_port = 8081
operators_port = 8082
data_centre = bucharest-1
firm = carpatic
seed_peers = 127.0.0.1:9081, 127.0.0.1:9181

[platform]
configuration_service = 127.0.0.1:7000
instance_list = 127.0.0.1:7001
"""


class ReadSettingsTest(unittest.TestCase):
    """All faults are reported at once, each with its number and place."""

    def refused(self, text):
        with self.assertRaises(SettingsRefused) as caught:
            read_settings(text)
        return [(e.code.number, e.line, e.key) for e in caught.exception.exceptions]

    def test_good_settings_are_read(self):
        settings = read_settings(GOOD)
        self.assertEqual(settings.instance.callers_address, "127.0.0.1:8080")
        self.assertEqual(len(settings.instance.seed_peers), 2)
        self.assertEqual(settings.log.level, "info")

    def test_every_fault_is_reported_at_once(self):
        text = GOOD.replace("8080", "80800").replace("firm =", "frim =")
        text += "timeout_s = 5 seconds\n[extra]\n"
        faults = self.refused(text)
        self.assertIn((107, 3, "callers_port"), faults)
        self.assertIn((104, 7, "frim"), faults)
        self.assertIn((105, 1, "firm"), faults)
        self.assertIn((107, 13, "timeout_s"), faults)
        self.assertIn((101, 14, None), faults)

    def test_a_section_that_stands_twice_is_refused(self):
        faults = self.refused(GOOD + "[platform]\n")
        self.assertEqual(faults, [(103, 13, None)])

    def test_empty_settings_are_refused(self):
        self.assertEqual({fault[0] for fault in self.refused("")}, {102})
