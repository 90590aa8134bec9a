"""Tests of the catalogue's check."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.catalogue import CallClass, parse_catalogue, validate_catalogue

GOOD = """\
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


def numbers(text):
    catalogue, problems = validate_catalogue(text.encode())
    return catalogue, [problem.code.number for problem in problems]


class CheckCatalogueTest(unittest.TestCase):
    """One text gets one verdict, with every fault in it."""

    def test_a_good_catalogue_is_read(self):
        catalogue = parse_catalogue(GOOD.encode())
        service = catalogue.services["positions"]
        self.assertIs(service.call_class, CallClass.INTERACTIVE)
        self.assertTrue(service.is_idempotent("GET", "/x"))
        self.assertFalse(service.is_idempotent("POST", "/x"))

    def test_faults_are_reported_together(self):
        text = GOOD.replace("= 0.5", "= 0.6").replace("owner = c", "owner = d")
        text = text.replace("deadline_ms = 500", "deadline_ms = -1")
        text += "colour = red\n[thing]\n"
        catalogue, found = numbers(text)
        self.assertIsNone(catalogue)
        self.assertEqual(sorted(found), [101, 104, 108, 110, 111])

    def test_bad_documents(self):
        cases = {
            "": 102,
            GOOD + "[fleet]\n": 103,
            GOOD + "routing_policy = guess\n": 107,
            GOOD + "owner = kivu\n": 106,
            GOOD.replace("64", "10 calls"): 107,
            GOOD.replace("64", "9" * 17): 108,
            "no section": 100,
        }
        for text, number in cases.items():
            with self.subTest(number=number):
                catalogue, found = numbers(text)
                self.assertIsNone(catalogue)
                self.assertIn(number, found)

    def test_a_limit_that_leaves_an_instance_nothing_is_refused(self):
        catalogue, found = numbers(GOOD.replace("= 64", "= 19"))
        self.assertIsNone(catalogue)
        self.assertEqual(found, [108])
        self.assertIsNotNone(numbers(GOOD.replace("= 64", "= 20"))[0])

    def test_bytes_that_are_not_text_or_too_many(self):
        self.assertEqual(validate_catalogue(b"\xff")[1][0].code.number, 100)
        self.assertEqual(validate_catalogue(b"#" * 1_000_001)[1][0].code.number, 109)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.binary(max_size=400))
    def test_no_input_breaks_the_check(self, raw):
        catalogue, problems = validate_catalogue(raw)
        self.assertTrue((catalogue is None) == bool(problems))
