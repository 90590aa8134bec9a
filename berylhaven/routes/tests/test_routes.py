"""Tests of finding routes and distributing requests by weight."""

import collections
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylhaven.routes import (
    RequestKind,
    Route,
    RouteTable,
    SplitChooser,
    WeightedService,
)

SEGMENTS = st.lists(st.sampled_from("ab"), max_size=4)


def route(prefix, host="shop.example", parts=(("s", 1.0),)):
    weighted = tuple(WeightedService(name, weight) for name, weight in parts)
    kind = RequestKind.IDEMPOTENT
    return Route(prefix, host, prefix, kind, weighted, 1.0, 2, 0.5, 1)


def prefix_of(segments):
    return "/" + "".join(f"{segment}/" for segment in segments)


class RouteTableTest(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self):
        table = RouteTable(
            [route("/a/"), route("/a/b/"), route("/a/", "other.example")]
        )
        self.assertEqual(table.find("shop.example", "/a/b/c").prefix, "/a/b/")
        self.assertEqual(table.find("SHOP.example:80", "/a/x").prefix, "/a/")
        self.assertIsNone(table.find("shop.example", "/b/"))
        self.assertIsNone(table.find("shop.example", "/a"))
        self.assertIsNone(table.find("none.example", "/a/"))

    @given(st.lists(SEGMENTS, max_size=8), SEGMENTS, st.sampled_from(["", "ab", "b"]))
    def test_find_matches_a_linear_search(self, all_segments, path, rest):
        prefixes = {prefix_of(segments) for segments in all_segments}
        target = prefix_of(path) + rest
        matching = [p for p in prefixes if target.startswith(p)]
        found = RouteTable(map(route, prefixes)).find("shop.example", target)
        expected = max(matching, key=len, default=None)
        self.assertEqual(found.prefix if found else None, expected)


class SplitChooserTest(unittest.TestCase):
    @given(st.integers(0, 1000), st.lists(st.integers(1, 99), min_size=2, max_size=5))
    def test_shares_stay_close_to_the_weights(self, seed, weights):
        parts = [(f"s{index}", float(w)) for index, w in enumerate(weights)]
        chooser = SplitChooser(random.Random(seed))
        split = route("/", parts=parts)
        counts = collections.Counter(chooser.choose(split) for _ in range(300))
        for name, weight in parts:
            self.assertAlmostEqual(
                counts[name] / 300, weight / sum(weights), delta=0.02
            )

    def test_first_choices_of_different_instances_follow_the_weights(self):
        split = route("/", parts=(("most", 90.0), ("few", 10.0)))
        first = collections.Counter(
            SplitChooser(random.Random(seed)).choose(split) for seed in range(500)
        )
        self.assertAlmostEqual(first["few"] / 500, 0.1, delta=0.05)

    def test_a_part_of_weight_zero_gets_no_requests(self):
        chooser = SplitChooser(random.Random(1))
        split = route("/", parts=(("all", 1.0), ("none", 0.0)))
        self.assertEqual({chooser.choose(split) for _ in range(50)}, {"all"})

    def test_inactive_splits_are_removed(self):
        chooser = SplitChooser(random.Random(1))
        old = route("/", parts=(("a", 1.0), ("b", 1.0)))
        new = route("/", parts=(("a", 2.0), ("b", 1.0)))
        for split in (old, new):
            chooser.choose(split)
        chooser.retain((new,))
        self.assertEqual(list(chooser._points), [new.parts])
