"""Tests of the servers that an instance prefers."""

import unittest
from collections import Counter

from berylhaven.subsets import SUBSET_SIZE, is_sparse, order_servers

# Instances and servers of one data centre for each fleet of docs/HARD-LOAD.md.
LOCAL_FLEETS = (
    *((40, count) for count in (20, 11, 3, 22)),
    *((58, count) for count in (27, 18, 6)),
    *((67, count) for count in (12, 18, 9)),
    (183, 183),
)
BUSIEST_LIMIT = 1.2


def members(count):
    return [f"10.0.{number}.7:81" for number in range(count)]


def servers(count):
    return [f"srv-{number * 7919 % 10_007}" for number in range(count)]


def subsets(instances, names):
    return {
        own: order_servers("s", own, instances, names)[:SUBSET_SIZE]
        for own in instances
    }


class ServerSubsetTest(unittest.TestCase):
    def test_servers_are_in_about_equally_many_subsets(self):
        for instance_count, server_count in LOCAL_FLEETS:
            names = servers(server_count)
            chosen = subsets(members(instance_count), names).values()
            counts = Counter(name for subset in chosen for name in subset)
            ratio = max(counts.values()) * server_count / counts.total()
            with self.subTest(instances=instance_count, servers=server_count):
                self.assertLess(ratio, BUSIEST_LIMIT)

    def test_a_change_of_one_member_or_server_replaces_at_most_one_server(self):
        instances, names = members(58), servers(27)
        before = subsets(instances, names)
        fewer_members = subsets(instances[:20] + instances[21:], names)
        fewer_servers = subsets(instances, names[:9] + names[10:])
        for after in (fewer_members, fewer_servers):
            for own, subset in after.items():
                self.assertLessEqual(len(set(before[own]) - set(subset)), 1)

    def test_the_order_does_not_depend_on_the_order_of_the_inputs(self):
        instances, names = members(58), servers(27)
        expected = order_servers("s", instances[5], instances, names)
        self.assertCountEqual(expected, names)
        reordered = order_servers("s", instances[5], instances[::-1], names[::-1])
        self.assertEqual(reordered, expected)

    def test_an_instance_that_does_not_list_itself_has_an_order(self):
        names = servers(8)
        self.assertCountEqual(order_servers("s", "own:1", members(3), names), names)
        self.assertEqual(order_servers("s", "own:1", [], []), [])

    def test_subsets_are_used_where_an_instance_meets_servers_rarely(self):
        for server_count, ready_count, request_per_s in (
            (58, 119, 154 / 119),
            (32, 119, 65.9 / 119),
            (8, 119, 17.9 / 119),
            (66, 119, 43.9 / 119),
            (107, 230, 237 / 230),
            (70, 230, 118 / 230),
            (24, 230, 65.2 / 230),
        ):
            with self.subTest(servers=server_count, ready=ready_count):
                self.assertTrue(is_sparse(server_count, ready_count, request_per_s))

    def test_small_or_busy_fleets_use_no_subsets(self):
        for server_count in range(6, 19):
            self.assertFalse(is_sparse(server_count, 20, 0.1))
        self.assertFalse(is_sparse(18, 119, 10.0))

    def test_a_wave_of_the_load_does_not_end_the_use_of_subsets(self):
        mean_per_s = 3.2
        self.assertTrue(is_sparse(58, 119, mean_per_s))
        self.assertFalse(is_sparse(58, 119, 1.4 * mean_per_s))
        self.assertTrue(is_sparse(58, 119, 1.4 * mean_per_s, was_sparse=True))
