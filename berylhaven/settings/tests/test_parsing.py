"""Tests of parsing and validating a settings file."""

import unittest

from berylhaven.settings import InvalidSettings, parse_settings

VALID_SETTINGS = """\
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
    """All problems are reported together, each with its number and place."""

    def problems_of(self, text):
        with self.assertRaises(InvalidSettings) as caught:
            parse_settings(text)
        return [(e.code.number, e.line, e.key) for e in caught.exception.exceptions]

    def test_valid_settings_are_parsed(self):
        settings = parse_settings(VALID_SETTINGS)
        self.assertEqual(settings.instance.callers_address, "127.0.0.1:8080")
        self.assertEqual(len(settings.instance.seed_peers), 2)
        self.assertEqual(settings.log.level, "info")

    def test_all_problems_are_reported_together(self):
        text = VALID_SETTINGS.replace("8080", "80800").replace("firm =", "frim =")
        text += "timeout_s = 5 seconds\n[extra]\n"
        problems = self.problems_of(text)
        self.assertIn((107, 3, "callers_port"), problems)
        self.assertIn((104, 7, "frim"), problems)
        self.assertIn((105, 1, "firm"), problems)
        self.assertIn((107, 13, "timeout_s"), problems)
        self.assertIn((101, 14, None), problems)

    def test_a_duplicate_section_is_invalid(self):
        problems = self.problems_of(VALID_SETTINGS + "[platform]\n")
        self.assertEqual(problems, [(103, 13, None)])

    def test_empty_settings_are_invalid(self):
        self.assertEqual({problem[0] for problem in self.problems_of("")}, {102})

    def test_each_invalid_value_is_reported_with_its_place_and_a_correction(self):
        cases = {
            ("callers_port = 8080", "callers_port = 0"): (107, 3, "1 to 65535"),
            ("callers_port = 8080", "callers_port = 8081"): (112, 4, "callers_port"),
            ("peers_port = 8081", "peers_port = 7001"): (112, 12, "peers_port"),
            ("host = 127.0.0.1", "host = 0.0.0.0"): (107, 2, "can connect to"),
            ("host = 127.0.0.1", "host = web one"): (107, 2, "IPv4 address"),
            ("127.0.0.1:7000", "7000"): (107, 11, "HOST:PORT"),
            ("127.0.0.1:9081,", "127.0.0.1;"): (107, 8, "HOST:PORT"),
            ("instance_list", "timeout_ms = 5\ninstance_list"): (104, 12, "timeout_s?"),
            ("instance_list", "timeout_s = 1e400\ninstance_list"): (107, 12, "finite"),
            ("instance_list", "timeout_s = 5s\ninstance_list"): (107, 12, "seconds"),
            ("instance_list", "timeout_s = -1\ninstance_list"): (108, 12, "0.05 to"),
        }
        for (old, new), (number, line, text) in cases.items():
            with self.subTest(new):
                with self.assertRaises(InvalidSettings) as caught:
                    parse_settings(VALID_SETTINGS.replace(old, new))
                (problem,) = caught.exception.exceptions
                self.assertEqual((problem.code.number, problem.line), (number, line))
                self.assertIn(text, str(problem))

    def test_equal_ports_and_a_platform_port_conflict_are_both_reported(self):
        text = VALID_SETTINGS.replace("8082", "8080").replace(":7001", ":8081")
        keys = {problem[2] for problem in self.problems_of(text)}
        self.assertEqual(keys, {"operators_port", "instance_list"})
