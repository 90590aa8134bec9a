"""Tests of validating catalogues with typical mistakes of operators."""

import itertools
import time
import unittest

import eventlet
from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.catalogue import CATALOGUE_LIMIT_BYTES, validate_catalogue
from berylhaven.catalogue.tests.test_validation import VALID_CATALOGUE
from berylhaven.ini import PROBLEMS_LIMIT, parse_document

LINE_COUNT = VALID_CATALOGUE.count("\n")


def problems_of(text):
    raw = text if isinstance(text, bytes) else text.encode()
    return validate_catalogue(raw)[1]


class BadInputTest(unittest.TestCase):
    """Each mistake is reported with line, section, key, number and a correction."""

    def assert_reported(self, text, number, line, section, key, hint):
        problems = problems_of(text)
        self.assertEqual(len(problems), 1, problems)
        (problem,) = problems
        self.assertEqual(problem.code.number, number)
        place = (problem.line, problem.section, problem.key)
        self.assertEqual(place, (line, section, key))
        self.assertIn(hint, str(problem))

    def test_invalid_values(self):
        place = "service positions"
        invalid_values = [
            ("deadline_ms = 500", "deadline_ms = 500 ms", 107, "milliseconds"),
            ("deadline_ms = 500", "deadline_ms = 0.5", 107, "whole number"),
            ("deadline_ms = 500", "deadline_ms = -500", 108, "1 to 86400000"),
            ("deadline_ms = 500", "deadline_ms = " + "9" * 18, 108, "1 to 86400000"),
            ("deadline_ms = 500", "deadline_ms = " + "9" * 5000, 107, "18 digits"),
            ("deadline_ms = 500", "deadline_ms = ٥٠٠", 107, "whole number"),
            ("deadline_ms = 500", "deadline_ms =", 107, "whole number"),
        ]
        for old, new, number, hint in invalid_values:
            with self.subTest(new[:40]):
                text = VALID_CATALOGUE.replace(old, new)
                self.assert_reported(text, number, 15, place, "deadline_ms", hint)
        rates = ["nan", "inf", "1_000", "2000/s", "0x10", "1e999"]
        for rate in rates:
            with self.subTest(rate):
                text = VALID_CATALOGUE.replace("= 2000", f"= {rate}")
                self.assert_reported(text, 107, 14, place, "rate_limit_per_s", "number")

    def test_unknown_keys_sections_and_owners(self):
        place = "service positions"
        self.assert_reported(
            VALID_CATALOGUE + "deadline_s = 5\n",
            104,
            17,
            place,
            "deadline_s",
            "deadline_ms?",
        )
        self.assert_reported(
            VALID_CATALOGUE.replace("owner = carpatic", "owner = carpathic"),
            *(110, 11, place, "owner", "[firm carpathic]"),
        )
        self.assert_reported(
            VALID_CATALOGUE + "[Service x]\n", 101, 17, "Service x", None, "service"
        )

    def test_duplicate_sections_and_keys(self):
        text = VALID_CATALOGUE + "[service   positions]\n  owner = kivu\n"
        found = [(problem.code.number, problem.line) for problem in problems_of(text)]
        self.assertEqual(found, [(103, 17), (106, 18)])

    def test_a_sum_of_shares_above_one_is_reported(self):
        text = VALID_CATALOGUE.replace("ratio = 0.5", "ratio = 0.6")
        hint = "carpatic 0.6, kivu 0.6 add up to 1.2; the maximum is 1"
        key = "guaranteed_share_ratio"
        self.assert_reported(text, 111, 8, "firm kivu", key, hint)

    def test_whole_documents(self):
        self.assert_reported("", 102, None, "fleet", None, "[fleet]")
        self.assert_reported("# nothing\n", 102, None, "fleet", None, "[fleet]")
        self.assert_reported(
            b"[fleet]\n\xff", 100, 2, None, None, "not UTF-8 at byte 8"
        )
        nul = problems_of("[\0]\nmax_entry_instances = 9\n" + VALID_CATALOGUE)
        self.assertEqual([(p.code.number, p.line) for p in nul], [(100, 1), (101, 1)])
        oversized = (
            "#" * (CATALOGUE_LIMIT_BYTES + 1 - len(VALID_CATALOGUE))
            + "\n"
            + VALID_CATALOGUE
        )
        self.assert_reported(oversized[:-1] + "\n", 109, None, None, None, "1000000")

    def test_many_patterns_are_a_problem(self):
        # 1 MB of them took 0.4 s, and each call is compared with all.
        patterns = "GET /*," * 1_000
        self.assert_reported(
            VALID_CATALOGUE.replace("idempotent = ", "idempotent = " + patterns),
            *(107, 16, "service positions", "idempotent", "more than 1000 patterns"),
        )

    def test_a_check_ends_its_turn(self):
        # 1 MB takes 1 to 2 s, in which nothing else of the process was served.
        rests = []

        def rest_often():
            while True:
                rests.append(time.monotonic())
                eventlet.sleep(0)

        other = eventlet.spawn(rest_often)
        eventlet.sleep(0)
        problems_of(VALID_CATALOGUE + "# comment\n" * 50_000)
        other.kill()
        longest_s = max(b - a for a, b in itertools.pairwise(rests))
        self.assertLess(longest_s, 0.5)
        self.assertGreater(len(rests), 10)

    def test_unreadable_lines_do_not_hide_other_problems(self):
        text = "early = 1\n" + VALID_CATALOGUE + "no value\ncolour = red\n[x] y\n"
        found = [(problem.code.number, problem.line) for problem in problems_of(text)]
        self.assertEqual(found, [(100, 1), (100, 18), (104, 19), (100, 20), (101, 20)])

    def test_problems_and_sections_beyond_a_limit_are_dropped(self):
        # 1 MB of them took 130 to 273 MB, more than a small instance has.
        texts = {
            "sections twice": "[a]\n" * 20_000,
            "sections": "".join(f"[service s{n}]\n" for n in range(20_000)),
            "keys": "[fleet]\n" + "".join(f"a{n}=1\n" for n in range(20_000)),
            "keys twice": "[fleet]\n" + "a=1\n" * 20_000,
            "lines": "x\n" * 20_000,
            "lines of a section": "[service a]\n" + "=\n" * 20_000,
        }
        for name, text in texts.items():
            with self.subTest(name):
                self.assertEqual(len(problems_of(text)), PROBLEMS_LIMIT)
        document, problems = parse_document(texts["sections"])
        self.assertEqual(len(document.sections), 10_000)
        self.assertIn("more than 10000 sections", str(problems[0]))

    def test_problems_of_indented_keys_have_line_numbers(self):
        text = VALID_CATALOGUE.replace("owner", "  owner").replace("class", "  class")
        text = text.replace("  class = interactive", "  class = x\n  class = bulk")
        found = [(problem.code.number, problem.line) for problem in problems_of(text)]
        self.assertIn((106, 13), found)

    def test_white_space_in_a_line_takes_no_quadratic_time(self):
        # The check holds the event loop: 100 kB of it held the loop for minutes.
        for line in ("a" + " " * 10_000 + "x", "a" + " " * 10_000 + "x = 1"):
            started_s = time.process_time()
            problems = problems_of(VALID_CATALOGUE + line + "\n")
            self.assertLess(time.process_time() - started_s, 0.5)
            self.assertEqual([(p.code.number, p.line) for p in problems], [(100, 17)])

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
    def test_every_problem_has_a_line_of_the_document(self, insertions):
        lines = VALID_CATALOGUE.splitlines()
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
