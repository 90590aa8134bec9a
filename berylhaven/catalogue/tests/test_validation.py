"""Tests of validating a catalogue."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.catalogue import CallClass, parse_catalogue, validate_catalogue

VALID_CATALOGUE = """\
[fleet]
max_entry_instances = 20

[firm carpatic]
guaranteed_share_ratio = 0.5

[firm kivu]
guaranteed_share_ratio = 0.5

[service positions]
owner = carpatic
class = interactive
concurrency_limit = 64
rate_limit_per_s = 2000
deadline_ms = 500
idempotent = GET /*, HEAD /*
"""


def problem_numbers_of(text):
    catalogue, problems = validate_catalogue(text.encode())
    return catalogue, [problem.code.number for problem in problems]


class CheckCatalogueTest(unittest.TestCase):
    """All problems of a catalogue are reported together."""

    def test_a_valid_catalogue_is_parsed(self):
        catalogue = parse_catalogue(VALID_CATALOGUE.encode())
        service = catalogue.services["positions"]
        self.assertIs(service.call_class, CallClass.INTERACTIVE)
        self.assertTrue(service.is_idempotent("GET", "/x"))
        self.assertFalse(service.is_idempotent("POST", "/x"))

    def test_all_problems_are_reported_together(self):
        text = VALID_CATALOGUE.replace("= 0.5", "= 0.6").replace(
            "owner = c", "owner = d"
        )
        text = text.replace("deadline_ms = 500", "deadline_ms = -1")
        text += "colour = red\n[thing]\n"
        catalogue, found = problem_numbers_of(text)
        self.assertIsNone(catalogue)
        self.assertEqual(sorted(found), [101, 104, 108, 110, 111])

    def test_invalid_documents(self):
        cases = {
            "": 102,
            VALID_CATALOGUE + "[fleet]\n": 103,
            VALID_CATALOGUE + "routing_policy = guess\n": 107,
            VALID_CATALOGUE + "owner = kivu\n": 106,
            VALID_CATALOGUE.replace("64", "10 calls"): 107,
            VALID_CATALOGUE.replace("64", "9" * 17): 108,
            "no section": 100,
        }
        for text, number in cases.items():
            with self.subTest(number=number):
                catalogue, found = problem_numbers_of(text)
                self.assertIsNone(catalogue)
                self.assertIn(number, found)

    def test_a_limit_below_the_maximum_number_of_instances_is_invalid(self):
        catalogue, found = problem_numbers_of(VALID_CATALOGUE.replace("= 64", "= 19"))
        self.assertIsNone(catalogue)
        self.assertEqual(found, [108])
        self.assertIsNotNone(
            problem_numbers_of(VALID_CATALOGUE.replace("= 64", "= 20"))[0]
        )

    def test_non_utf8_and_oversized_input(self):
        self.assertEqual(validate_catalogue(b"\xff")[1][0].code.number, 100)
        self.assertEqual(validate_catalogue(b"#" * 1_000_001)[1][0].code.number, 109)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.binary(max_size=400))
    def test_any_input_gives_a_catalogue_or_problems(self, raw):
        catalogue, problems = validate_catalogue(raw)
        self.assertTrue((catalogue is None) == bool(problems))
