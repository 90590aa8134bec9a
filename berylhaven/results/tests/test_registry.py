"""Tests of the registry of result codes."""

import unittest

from berylhaven.results import Outcome, register_result, result_by_number, result_codes


class RegistryTest(unittest.TestCase):
    """Numbers are unique, and every call result has a status and an outcome."""

    def test_a_number_cannot_be_registered_twice(self):
        with self.assertRaises(ValueError):

            @register_result(204, "again", "Nothing.")
            class Again:
                """Again."""

    def test_every_call_result_has_status_and_outcome(self):
        for code in result_codes():
            if 200 <= code.number < 300:
                self.assertIsNotNone(code.status, code.name)
                self.assertIsInstance(code.outcome, Outcome)

    def test_a_code_is_found_by_its_number(self):
        self.assertEqual(result_by_number(204).name, "no-backend-server-in-time")
        self.assertIsNone(result_by_number(999))
