"""Tests of the format of call ids."""

import unittest

from berylhaven.calls import call_id_prefix, parse_call_id
from berylhaven.results import BadCallId


class CallIdTest(unittest.TestCase):
    """Only a prefix with a caller's part is a valid id."""

    def test_prefix_and_own_part_make_an_id(self):
        text = call_id_prefix("00ff00ff", 12) + "abcdefgh"
        call_id = parse_call_id(text)
        self.assertEqual(call_id.home_instance_nonce, "00ff00ff")
        self.assertEqual(call_id.issued_at_uptime_s, 12)
        self.assertEqual(str(call_id), text)

    def test_malformed_ids_are_refused(self):
        for text in ("", "x", "00ff00ff-1-short", "00ff00ff--abcdefgh", "é" * 20):
            with self.subTest(text=text):
                with self.assertRaises(BadCallId):
                    parse_call_id(text)
