"""Tests of what instances know of one another, and of what callers are told."""

import random
import unittest

import orjson
from hypothesis import given
from hypothesis import strategies as st

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._locate import locate
from berylhaven.gateway._member_gossip import MemberGossip
from berylhaven.gateway._members import (
    CUT_OFF_TRUST_S,
    SILENT_AFTER_S,
    Member,
    MemberTable,
    read_row,
)

JSON_VALUES = st.none() | st.booleans() | st.integers() | st.floats() | st.text()


def member(name, beat=1, data_centre="here", is_ready=True, incarnation=1):
    return Member(
        f"{name}:peers", f"{name}:callers", data_centre, incarnation, beat, is_ready
    )


class MemberTableTest(unittest.TestCase):
    def setUp(self):
        self.table = MemberTable(member("own"))

    def names(self, now_s):
        return sorted(m.callers_address.split(":")[0] for m in self.table.ready(now_s))

    def test_only_a_rising_beat_is_a_sign_of_life(self):
        self.table.take(member("a", beat=5), 0.0)
        self.table.take(member("b", beat=5), 0.0)
        self.table.take(member("a", beat=6), 2.0)
        self.table.take(member("b", beat=5), 2.0)
        self.assertEqual(self.names(SILENT_AFTER_S + 1.0), ["a", "own"])

    def test_an_instance_that_is_not_ready_is_not_told_to_callers(self):
        self.table.take(member("a"), 0.0)
        self.table.take(member("a", beat=2, is_ready=False), 0.5)
        self.assertEqual(self.names(1.0), ["own"])

    def test_a_start_after_a_step_back_of_the_wall_clock_is_believed_in_time(self):
        self.table.take(member("a", incarnation=9), 0.0)
        self.assertFalse(self.table.take(member("a", incarnation=5), 1.0))
        self.table.take(member("a", incarnation=5), SILENT_AFTER_S + 0.1)
        self.assertEqual(self.names(SILENT_AFTER_S + 0.2), ["a", "own"])

    def test_an_instance_that_refuses_a_connection_takes_no_callers(self):
        for name in "abcd":
            self.table.take(member(name), 0.0)
        self.table.unreachable("a:peers")
        self.assertEqual(self.names(0.5), ["b", "c", "d", "own"])

    def test_where_all_fall_silent_at_once_they_are_still_told(self):
        for name in "abcd":
            self.table.take(member(name), 0.0)
        self.assertEqual(len(self.names(SILENT_AFTER_S + 1.0)), 5)
        self.assertEqual(self.names(CUT_OFF_TRUST_S + 1.0), ["own"])

    def test_the_number_of_sharers_does_not_fall_with_a_partition(self):
        for name in "abc":
            self.table.take(member(name), 0.0)
        self.table.forget_silent(1_000.0)
        self.assertEqual(self.table.most_count, 4)

    def test_a_message_to_another_data_centre_tells_of_this_one_only(self):
        self.table.take(member("a"), 0.0)
        self.table.take(member("b", data_centre="there"), 0.0)
        self.assertEqual(len(self.table.rows(0.0)), 3)
        self.assertEqual(len(self.table.rows(0.0, is_near=False)), 2)

    @given(st.lists(JSON_VALUES, max_size=9) | JSON_VALUES)
    def test_any_row_gives_a_member_or_a_value_error(self, row):
        try:
            self.assertIsInstance(read_row(row), Member)
        except ValueError as error:
            self.assertTrue(str(error))


class MemberGossipTest(unittest.TestCase):
    def gossip(self, name):
        table = MemberTable(member(name))
        return table, MemberGossip(table, (), random.Random(1), EventLog(1, 0, 0))

    def test_two_tables_know_the_same_after_one_talk(self):
        with ManualClock():
            one, first = self.gossip("one")
            two, second = self.gossip("two")
            one.take(member("three"), monotonic_s())
            two.take(member("four"), monotonic_s())
            answer = second.answer(orjson.dumps(one.rows(monotonic_s())))
            first.take(answer)
            now_s = monotonic_s()
            names = [
                sorted(m.peers_address for m in table.ready(now_s))
                for table in (one, two)
            ]
        self.assertEqual(names[0], names[1])
        self.assertEqual(len(names[0]), 4)

    def test_malformed_messages_are_refused(self):
        _, gossip = self.gossip("one")
        for body in (b"", b"{}", b"[]", b"[[1]]", b'[["a","b","c",1,1,1,1]]'):
            with self.subTest(body), self.assertRaises(ValueError):
                gossip.answer(body)


class LocateTest(unittest.TestCase):
    def test_near_instances_are_told_if_there_are_enough(self):
        ready = [member("a"), member("b"), member("c", data_centre="there")]
        found = locate(ready, "here", 2.0, random.Random(1))
        self.assertEqual(sorted(found.addresses), ["a:callers", "b:callers"])

    def test_all_are_told_if_too_few_are_near(self):
        ready = [member("a"), member("c", data_centre="there")]
        found = locate(ready, "here", 2.0, random.Random(1))
        self.assertEqual(len(found.addresses), 2)

    def test_nothing_is_told_if_no_instance_is_ready(self):
        self.assertIsNone(locate([], "here", 2.0, random.Random(1)))
