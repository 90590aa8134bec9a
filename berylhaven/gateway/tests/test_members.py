"""Tests of the membership table, of gossip and of locate answers."""

import random
import unittest
import unittest.mock
import zlib

from hypothesis import given
from hypothesis import strategies as st

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._locate import locate
from berylhaven.gateway._member_codec import TEXT_LIMIT_BYTES, encode_rows
from berylhaven.gateway._member_gossip import MemberGossip
from berylhaven.gateway._members import (
    EVICT_AFTER_S,
    ISOLATION_WINDOW_S,
    LOCAL_UNRESPONSIVE_AFTER_S,
    RELAYS_PER_DATA_CENTRE,
    REMOTE_ROWS_LIMIT,
    Member,
    MemberTable,
    decode_row,
)
from berylhaven.gateway.tests._gossip_fleet import GossipFleet

JSON_VALUES = st.none() | st.booleans() | st.integers() | st.floats() | st.text()


def member(name, heartbeat=1, data_centre="here", is_ready=True, incarnation=1):
    return Member(
        f"{name}:peers",
        f"{name}:callers",
        data_centre,
        incarnation,
        heartbeat,
        is_ready,
    )


class MemberTableTest(unittest.TestCase):
    def setUp(self):
        self.table = MemberTable(member("own"))

    def ready_names(self, now_s):
        return sorted(m.callers_address.split(":")[0] for m in self.table.ready(now_s))

    def test_only_a_rising_heartbeat_keeps_a_member_live(self):
        self.table.merge(member("a", heartbeat=5), 0.0)
        self.table.merge(member("b", heartbeat=5), 0.0)
        self.table.merge(member("a", heartbeat=6), 2.0)
        self.table.merge(member("b", heartbeat=5), 2.0)
        self.assertEqual(
            self.ready_names(LOCAL_UNRESPONSIVE_AFTER_S + 1.0), ["a", "own"]
        )

    def test_an_instance_that_is_not_ready_is_not_given_to_callers(self):
        self.table.merge(member("a"), 0.0)
        self.table.merge(member("a", heartbeat=2, is_ready=False), 0.5)
        self.assertEqual(self.ready_names(1.0), ["own"])

    def test_a_row_that_is_not_newer_never_revives_a_member(self):
        self.table.merge(member("a", incarnation=9, heartbeat=5), 0.0)
        for now_s in (1.0, LOCAL_UNRESPONSIVE_AFTER_S + 0.1):
            for incarnation, heartbeat in ((9, 5), (9, 4), (5, 8)):
                self.table.merge(
                    member("a", incarnation=incarnation, heartbeat=heartbeat), now_s
                )
            self.table.merge(member("b", heartbeat=int(now_s)), now_s)
        self.assertEqual(
            self.ready_names(LOCAL_UNRESPONSIVE_AFTER_S + 0.2), ["b", "own"]
        )

    def test_an_unreachable_instance_is_live_again_only_by_a_newer_row(self):
        for name in "abcd":
            self.table.merge(member(name, heartbeat=5), 0.0)
        self.table.mark_unreachable("a:peers")
        self.table.merge(member("a", heartbeat=5), 0.1)
        self.assertEqual(self.ready_names(0.1), ["b", "c", "d", "own"])
        self.table.merge(member("a", heartbeat=6), 0.2)
        self.assertEqual(self.ready_names(0.2), ["a", "b", "c", "d", "own"])

    def test_an_unreachable_instance_is_evicted_too(self):
        self.table.merge(member("a"), 0.0)
        self.table.mark_unreachable("a:peers")
        self.table.evict_unresponsive(EVICT_AFTER_S + 0.1)
        self.assertTrue(self.table.merge(member("a"), EVICT_AFTER_S + 0.2))

    def test_an_instance_that_refuses_a_connection_is_not_given_to_callers(self):
        for name in "abcd":
            self.table.merge(member(name), 0.0)
        self.table.mark_unreachable("a:peers")
        self.assertEqual(self.ready_names(0.5), ["b", "c", "d", "own"])

    def test_members_that_all_become_unresponsive_at_once_are_still_given_to_callers(
        self,
    ):
        for name in "abcd":
            self.table.merge(member(name), 0.0)
        self.assertEqual(len(self.ready_names(LOCAL_UNRESPONSIVE_AFTER_S + 1.0)), 5)
        self.assertEqual(self.ready_names(ISOLATION_WINDOW_S + 1.0), ["own"])

    def test_the_peak_count_does_not_fall_with_a_partition(self):
        for name in "abc":
            self.table.merge(member(name), 0.0)
        self.table.evict_unresponsive(1_000.0)
        self.assertEqual(self.table.peak_count, 4)

    def test_a_message_to_another_data_centre_has_no_rows_of_a_third_one(self):
        self.table.merge(member("a"), 0.0)
        self.table.merge(member("b", data_centre="there"), 0.0)
        self.table.merge(member("c", data_centre="elsewhere"), 0.0)
        source = random.Random(1)
        self.assertEqual(len(self.table.local_rows(0.0, source)), 4)
        self.assertEqual(len(self.table.remote_rows(0.0, source, None)), 2)
        self.assertEqual(len(self.table.remote_rows(0.0, source, "there")), 3)

    def test_messages_to_another_data_centre_are_short_and_cover_all_members_in_time(
        self,
    ):
        for number in range(60):
            self.table.merge(member(f"n{number}"), 0.0)
        source = random.Random(1)
        reported = set()
        for _ in range(40):
            rows = self.table.remote_rows(0.0, source, "there")
            self.assertLessEqual(len(rows), REMOTE_ROWS_LIMIT)
            reported |= {row[0] for row in rows}
        self.assertEqual(len(reported), 61)

    def test_all_instances_select_the_same_relays(self):
        everyone = [member(name) for name in "abcde"]
        named = set()
        for own in everyone:
            table = MemberTable(own)
            for other in everyone:
                table.merge(member(other.peers_address.split(":")[0]), 0.0)
            named.add(tuple(m.peers_address for m in table.relays(0.0)))
        self.assertEqual(len(named), 1)
        self.assertEqual(len(named.pop()), RELAYS_PER_DATA_CENTRE)

    @given(st.lists(JSON_VALUES, max_size=9) | JSON_VALUES)
    def test_any_row_gives_a_member_or_a_value_error(self, row):
        try:
            self.assertIsInstance(decode_row(row), Member)
        except ValueError as error:
            self.assertTrue(str(error))

    def test_an_instance_without_answers_of_the_store_is_no_relay(self):
        for name in "abcd":
            other = member(name)
            other.store_available_s = 5
            self.table.merge(other, 0.0)
        first = self.table.relays(0.0)[0]
        isolated = member(first.peers_address.split(":")[0], heartbeat=2)
        self.table.merge(isolated, 0.5)
        relays = [m.peers_address for m in self.table.relays(0.5)]
        self.assertEqual(len(relays), RELAYS_PER_DATA_CENTRE)
        self.assertNotIn(first.peers_address, relays)
        self.assertNotIn("own:peers", relays)


class FleetGossipTest(unittest.TestCase):
    def test_local_members_and_some_remote_ones_stay_live_with_little_traffic(self):
        with ManualClock() as clock:
            fleet = GossipFleet(clock, 120)
            fleet.run_for(10.0)
            fleet.byte_count = fleet.remote_byte_count = 0
            fleet.run_for(20.0)
            now_s = monotonic_s()
        for gossip in fleet.gossips.values():
            live = gossip._members.live(now_s)
            own = gossip._members.own
            local = [m for m in live if m.data_centre == own.data_centre]
            self.assertEqual(len(local), 39)
            self.assertGreaterEqual(len(live) - len(local), 16)
            # Budgets are divided by the peak number of known instances.
            self.assertGreater(gossip._members.peak_count, 0.9 * len(fleet.gossips))
        # The long-run target for control traffic is 3 KB a second per instance.
        self.assertLess(fleet.byte_count / 20.0 / len(fleet.gossips), 3_000)
        # Traffic between data centres is costly.
        self.assertLess(fleet.remote_byte_count, 0.1 * fleet.byte_count)


class MemberGossipTest(unittest.TestCase):
    def gossip(self, name):
        table = MemberTable(member(name))
        return table, MemberGossip(table, (), random.Random(1), EventLog(1, 0, 0))

    def test_two_tables_agree_after_one_exchange(self):
        with ManualClock():
            one, first = self.gossip("one")
            two, second = self.gossip("two")
            one.merge(member("three"), monotonic_s())
            two.merge(member("four"), monotonic_s())
            answer = second.answer(
                encode_rows(one.local_rows(monotonic_s(), random.Random(1)))
            )
            first.merge(answer)
            now_s = monotonic_s()
            ready_names = [
                sorted(m.peers_address for m in table.ready(now_s))
                for table in (one, two)
            ]
        self.assertEqual(ready_names[0], ready_names[1])
        self.assertEqual(len(ready_names[0]), 4)

    def test_log_lines_of_members_state_their_incarnation_and_heartbeat(self):
        lines = []
        table = MemberTable(member("one"))
        event_log = unittest.mock.Mock()
        event_log.write = lambda *words, **fields: lines.append((*words, fields))
        with ManualClock() as clock:
            gossip = MemberGossip(table, (), random.Random(1), event_log)
            table.merge(member("two", heartbeat=7, incarnation=3), monotonic_s())
            gossip._log_changes()
            clock.advance_s(LOCAL_UNRESPONSIVE_AFTER_S + 1.0)
            gossip._log_changes()
        events = [(event, fields["heartbeats"]) for _, event, fields in lines]
        self.assertEqual(
            events, [("instances heard", "3.7"), ("instances silent", "3.7")]
        )

    def test_malformed_messages_are_rejected(self):
        _, gossip = self.gossip("one")
        for text in (b"", b"{}", b"[]", b"[[1]]", b'[["a","b","c",1,1,1,1]]'):
            for body in (text, zlib.compress(text), zlib.compress(text)[:-1]):
                with self.subTest(body), self.assertRaises(ValueError):
                    gossip.answer(body)

    def test_a_message_that_decompresses_to_too_much_is_rejected(self):
        _, gossip = self.gossip("one")
        body = zlib.compress(b"[" + b" " * TEXT_LIMIT_BYTES + b"]")
        with self.assertRaises(ValueError):
            gossip.answer(body)


class LocateTest(unittest.TestCase):
    def test_only_local_instances_are_returned_if_there_are_enough(self):
        ready = [member("a"), member("b"), member("c", data_centre="there")]
        found = locate(ready, "here", 2.0, random.Random(1))
        self.assertEqual(sorted(found.addresses), ["a:callers", "b:callers"])

    def test_all_instances_are_returned_if_too_few_are_local(self):
        ready = [member("a"), member("c", data_centre="there")]
        found = locate(ready, "here", 2.0, random.Random(1))
        self.assertEqual(len(found.addresses), 2)

    def test_none_is_returned_if_no_instance_is_ready(self):
        self.assertIsNone(locate([], "here", 2.0, random.Random(1)))
