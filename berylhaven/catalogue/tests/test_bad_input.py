"""Tests of the catalogue's check with the slips that operators make."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.catalogue import CATALOGUE_LIMIT_BYTES, validate_catalogue
from berylhaven.catalogue.tests.test_check import GOOD

LINE_COUNT = GOOD.count("\n")


def problems_of(text):
    raw = text if isinstance(text, bytes) else text.encode()
    return validate_catalogue(raw)[1]


class BadInputTest(unittest.TestCase):
    """Each slip is told with line, section, key, number and what would be right."""

    def assert_told(self, text, number, line, section, key, hint):
        problems = problems_of(text)
        self.assertEqual(len(problems), 1, problems)
        (problem,) = problems
        self.assertEqual(problem.code.number, number)
        place = (problem.line, problem.section, problem.key)
        self.assertEqual(place, (line, section, key))
        self.assertIn(hint, str(problem))

    def test_slips_in_values(self):
        place = "service positions"
        slips = [
            ("deadline_ms = 500", "deadline_ms = 500 ms", 107, "milliseconds"),
            ("deadline_ms = 500", "deadline_ms = 0.5", 107, "whole number"),
            ("deadline_ms = 500", "deadline_ms = -500", 108, "1 to 86400000"),
            ("deadline_ms = 500", "deadline_ms = " + "9" * 18, 108, "1 to 86400000"),
            ("deadline_ms = 500", "deadline_ms = " + "9" * 5000, 107, "18 digits"),
            ("deadline_ms = 500", "deadline_ms = ٥٠٠", 107, "whole number"),
            ("deadline_ms = 500", "deadline_ms =", 107, "whole number"),
        ]
        for old, new, number, hint in slips:
            with self.subTest(new[:40]):
                text = GOOD.replace(old, new)
                self.assert_told(text, number, 15, place, "deadline_ms", hint)
        rates = ["nan", "inf", "1_000", "2000/s", "0x10", "1e999"]
        for rate in rates:
            with self.subTest(rate):
                text = GOOD.replace("= 2000", f"= {rate}")
                self.assert_told(text, 107, 14, place, "rate_limit_per_s", "number")

    def test_slips_in_keys_and_sections(self):
        place = "service positions"
        self.assert_told(
            GOOD + "deadline_s = 5\n", 104, 17, place, "deadline_s", "deadline_ms?"
        )
        self.assert_told(
            GOOD.replace("owner = carpatic", "owner = carpathic"),
            *(110, 11, place, "owner", "[firm carpathic]"),
        )
        self.assert_told(GOOD + "[Service x]\n", 101, 17, "Service x", None, "service")

    def test_one_name_in_two_sections(self):
        text = GOOD + "[service   positions]\n  owner = kivu\n"
        found = [(problem.code.number, problem.line) for problem in problems_of(text)]
        self.assertEqual(found, [(103, 17), (106, 18)])

    def test_shares_over_one_are_added_up(self):
        text = GOOD.replace("ratio = 0.5", "ratio = 0.6")
        hint = "carpatic 0.6, kivu 0.6 add up to 1.2: allowed is 1"
        key = "guaranteed_share_ratio"
        self.assert_told(text, 111, 8, "firm kivu", key, hint)

    def test_whole_documents(self):
        self.assert_told("", 102, None, "fleet", None, "[fleet]")
        self.assert_told("# nothing\n", 102, None, "fleet", None, "[fleet]")
        self.assert_told(b"[fleet]\n\xff", 100, 2, None, None, "not UTF-8 at byte 8")
        nul = problems_of("[\0]\nmax_entry_instances = 9\n" + GOOD)
        self.assertEqual([(p.code.number, p.line) for p in nul], [(100, 1), (101, 1)])
        over = "#" * (CATALOGUE_LIMIT_BYTES + 1 - len(GOOD)) + "\n" + GOOD
        self.assert_told(over[:-1] + "\n", 109, None, None, None, "1000000")

    def test_unreadable_lines_hide_no_other_fault(self):
        text = "early = 1\n" + GOOD + "no value\ncolour = red\n[x] y\n"
        found = [(problem.code.number, problem.line) for problem in problems_of(text)]
        self.assertEqual(found, [(100, 1), (100, 18), (104, 19), (100, 20), (101, 20)])

    def test_indented_keys_have_lines_too(self):
        text = GOOD.replace("owner", "  owner").replace("class", "  class")
        text = text.replace("  class = interactive", "  class = x\n  class = bulk")
        found = [(problem.code.number, problem.line) for problem in problems_of(text)]
        self.assertIn((106, 13), found)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, LINE_COUNT),
                st.sampled_from(
                    ["[", "[x]", "a", "a = b", "  c = d", "[fleet]", "\f", "\x85", "="]
                ),
            ),
            min_size=1,
            max_size=4,
        )
    )
    def test_every_fault_stands_on_a_line_of_the_document(self, insertions):
        lines = GOOD.splitlines()
        for index, line in insertions:
            lines.insert(index, line)
        for problem in problems_of("\n".join(lines)):
            if problem.line is None:
                self.assertIn(problem.code.number, (102, 111))
                continue
            line = lines[problem.line - 1]
            if problem.key is not None and problem.code.number != 105:
                self.assertIn(problem.key, line)
            elif problem.section is not None:
                self.assertIn("[", line)
