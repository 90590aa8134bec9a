"""Tests that JSON texts of others are decoded in turns of bounded length."""

import unittest
from unittest import mock

import orjson
from hypothesis import given
from hypothesis import strategies as st

from berylhaven.bounded_json import (
    PARTS_LIMIT,
    TooManyParts,
    count_parts,
    json_fields,
    json_members,
    load_by_members,
    load_json,
)
from berylhaven.bounded_json._bounded_json import TOKEN

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)


def count_values(value):
    """Return the number of values in a value, its names not counted."""
    if isinstance(value, dict):
        value = list(value.values())
    return 1 + (sum(map(count_values, value)) if isinstance(value, list) else 0)


class BoundedJsonTest(unittest.TestCase):
    def test_a_text_of_many_parts_is_not_decoded(self):
        # A megabyte of brackets or of short fields took up to 0.3 s in one turn.
        for part in (b"[],", b"{},", b"0,", b'{"a":{}},', b"[[[[[]]]]],"):
            count = PARTS_LIMIT // count_parts(part)
            with self.subTest(part):
                load_json(b"[" + part * (count - 1) + b"0]")
                with self.assertRaises(TooManyParts):
                    load_json(b"[" + part * (count + 1) + b"0]")

    @given(JSON_VALUES)
    def test_a_text_has_no_more_values_than_its_parts(self, value):
        self.assertLessEqual(count_values(value), 1 + count_parts(orjson.dumps(value)))

    @given(st.lists(JSON_VALUES), JSON_VALUES)
    def test_decoding_by_members_gives_what_decoding_at_once_does(self, members, rest):
        text = orjson.dumps({"rows": members, "rest": rest})
        loaded = load_by_members(text, ("rows", "none"), orjson.loads, 1_000)
        self.assertEqual(loaded, orjson.loads(text))

    def test_others_may_run_after_each_member_and_each_field(self):
        turns = "berylhaven.bounded_json._bounded_json.end_long_turn"
        for walk, text in (
            (json_members, b"[" + b"0," * 1_000 + b"0]"),
            (json_fields, b"{" + b'"a":0,' * 1_000 + b'"a":0}'),
            (json_members, b"[[" + b'"",' * 1_000 + b"0]]"),
        ):
            with self.subTest(text[:8]), mock.patch(turns) as end_long_turn:
                list(walk(text))
                self.assertGreaterEqual(end_long_turn.call_count, 1_000)

    def test_text_without_structure_is_one_token(self):
        # Each of its characters was the start of a search: 0.16 s for a megabyte, which
        # no other green thread could interrupt.
        for text in (b"9" * 100_000, b" " * 100_000, b'"' + b"\\\\" * 50_000):
            with self.subTest(text[:4]):
                self.assertEqual(len(TOKEN.findall(text)), 1)

    @given(st.binary())
    def test_each_character_of_any_text_is_in_one_token(self, text):
        self.assertEqual(b"".join(TOKEN.findall(text)), text)

    def test_a_list_with_more_members_than_its_limit_is_refused(self):
        text = b'{"rows":[0,0,0]}'
        self.assertEqual(load_by_members(text, ("rows",), len, 3)["rows"], [1, 1, 1])
        with self.assertRaises(TooManyParts):
            load_by_members(text, ("rows",), len, 2)

    def test_a_text_that_is_cut_short_is_not_taken_for_a_shorter_one(self):
        text = b'{"a":1,"rows":[{"b":[1]},[2]],"c":{"d":3}}'
        for length in range(len(text)):
            with self.subTest(length), self.assertRaises(ValueError):
                load_by_members(text[:length], ("rows",), orjson.loads, 10)
