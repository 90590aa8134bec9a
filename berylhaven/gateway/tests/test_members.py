"""Tests of the membership table, of gossip and of locate answers."""

import random
import unittest
import unittest.mock
import zlib

import orjson
from hypothesis import given
from hypothesis import strategies as st

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway.members._locate import locate
from berylhaven.gateway.members._member import Member, decode_row
from berylhaven.gateway.members._member_codec import (
    TEXT_LIMIT_BYTES,
    decode_members,
    encode_members,
)
from berylhaven.gateway.members._member_gossip import MemberGossip
from berylhaven.gateway.members._members import (
    EVICT_AFTER_S,
    LOCAL_UNRESPONSIVE_AFTER_S,
    LOCATE_HEARTBEAT_LIMIT_S,
    RELAYS_PER_DATA_CENTRE,
    REMOTE_ROWS_LIMIT,
    MemberTable,
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

    def test_members_that_all_become_unresponsive_at_once_are_not_given_to_callers(
        self,
    ):
        for name in "abcd":
            self.table.merge(member(name), 0.0)
        self.assertEqual(len(self.ready_names(LOCAL_UNRESPONSIVE_AFTER_S - 0.1)), 5)
        self.assertEqual(self.ready_names(LOCAL_UNRESPONSIVE_AFTER_S + 0.1), ["own"])

    def test_a_remote_member_is_given_to_callers_no_longer_than_a_heartbeat_is_fresh(
        self,
    ):
        self.table.merge(member("a", data_centre="there"), 0.0)
        self.assertEqual(self.ready_names(LOCATE_HEARTBEAT_LIMIT_S), ["a", "own"])
        self.assertEqual(self.ready_names(LOCATE_HEARTBEAT_LIMIT_S + 0.1), ["own"])

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
        self.assertEqual(len(self.table.reported_to_local(0.0, source)), 4)
        self.assertEqual(len(self.table.reported_to_remote(0.0, source, None)), 2)
        self.assertEqual(len(self.table.reported_to_remote(0.0, source, "there")), 3)

    def test_messages_to_another_data_centre_are_short_and_cover_all_members_in_time(
        self,
    ):
        for number in range(60):
            self.table.merge(member(f"n{number}"), 0.0)
        source = random.Random(1)
        reported = set()
        for _ in range(40):
            reported_now = self.table.reported_to_remote(0.0, source, "there")
            self.assertLessEqual(len(reported_now), REMOTE_ROWS_LIMIT)
            reported |= {m.peers_address for m in reported_now}
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
                encode_members(
                    one.reported_to_local(monotonic_s(), random.Random(1)),
                    monotonic_s(),
                )
            )
            first.merge(answer, unread_s=0.0)
            now_s = monotonic_s()
            ready_names = [
                sorted(m.peers_address for m in table.ready(now_s))
                for table in (one, two)
            ]
        self.assertEqual(ready_names[0], ready_names[1])
        self.assertEqual(len(ready_names[0]), 4)

    def test_the_age_of_a_heartbeat_rises_with_each_instance_that_forwards_it(self):
        with ManualClock() as clock:
            first, second, third = (MemberTable(member(n)) for n in ("1", "2", "3"))
            first.merge(member("off", heartbeat=9), monotonic_s())
            for sender, receiver in ((first, second), (second, third)):
                clock.advance_s(LOCAL_UNRESPONSIVE_AFTER_S * 0.4)
                now_s = monotonic_s()
                reported = sender.reported_to_local(now_s, random.Random(1))
                for received in decode_members(encode_members(reported, now_s)).members:
                    receiver.merge(received, now_s)
            clock.advance_s(LOCAL_UNRESPONSIVE_AFTER_S * 0.15)
            self.assertIn("off:peers", [m.peers_address for m in third.live(now_s)])
            clock.advance_s(LOCAL_UNRESPONSIVE_AFTER_S * 0.1)
            live = [m.peers_address for m in third.live(monotonic_s())]
        self.assertNotIn("off:peers", live)

    def test_messages_without_ages_and_with_ages_are_understood_by_both_releases(self):
        sent = [member("one"), member("two", heartbeat=7)]
        body = encode_members(sent, 2.0)
        inflater = zlib.decompressobj()
        rows = orjson.loads(inflater.decompress(body))
        self.assertEqual([row[0] for row in rows], ["one:peers", "two:peers"])
        # The earlier release accepts any message whose first stream is complete.
        self.assertTrue(inflater.eof)
        earlier = body[: len(body) - len(inflater.unused_data)]
        self.assertEqual([m.age_s for m in decode_members(earlier).members], [0.0, 0.0])
        self.assertEqual([m.age_s for m in decode_members(body).members], [2.0, 2.0])

    def test_malformed_ages_are_rejected(self):
        rows = zlib.compress(orjson.dumps([member("one").to_row()]))
        for ages in (b"[]", b"[1,2]", b"[-1]", b"[1.5]", b"[true]", b'["1"]', b"{}"):
            with self.subTest(ages), self.assertRaises(ValueError):
                decode_members(rows + zlib.compress(ages))
        with self.assertRaises(ValueError):
            decode_members(rows + b"no stream")

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
