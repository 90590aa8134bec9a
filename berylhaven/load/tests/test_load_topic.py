"""Tests of sharing load reports with peers."""

import contextlib
import types
import unittest

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.load import LoadTopic
from berylhaven.load.tests._records import SERVICE, answer, table_of


def topic_of(table, **options):
    return LoadTopic(types.SimpleNamespace(load_table=table), **options)


def table_with_reports(count=6, at_s=10.0):
    table = table_of(count)
    for index, server in enumerate(table.candidates(SERVICE)):
        answer(server, 0.005, at_s - 0.1 * index, running=index)
    return table


class LoadTopicTest(unittest.TestCase):
    """Reports are sent with their age, the most useful first, within the byte limit."""

    def test_a_peer_receives_the_load_and_its_age(self):
        sender, receiver = table_with_reports(), table_of(6)
        payload = topic_of(sender).outgoing("p", 10.25, 10_000)
        copied = orjson.loads(orjson.dumps(payload))
        topic_of(receiver).incoming(copied, "p", 50.0)
        for index, server in enumerate(receiver.candidates(SERVICE)):
            self.assertEqual(server.report.running_count, index)
            self.assertAlmostEqual(server.report_age_s(50.0), 0.25 + 0.1 * index, 2)

    def test_a_newer_own_report_is_kept(self):
        sender, receiver = table_with_reports(1), table_of(1)
        [server] = receiver.candidates(SERVICE)
        answer(server, 0.005, 50.0, running=9)
        payload = topic_of(sender).outgoing("p", 10.25, 10_000)
        topic_of(receiver).incoming(payload, "p", 50.1)
        self.assertEqual(server.report.running_count, 9)

    def test_a_report_from_a_peer_is_not_passed_on(self):
        sender, receiver = table_with_reports(), table_of(6)
        payload = topic_of(sender).outgoing("p", 10.25, 10_000)
        topic_of(receiver).incoming(payload, "p", 50.0)
        self.assertIsNone(topic_of(receiver).outgoing("q", 50.0, 10_000))

    def test_old_reports_are_not_sent(self):
        self.assertIsNone(topic_of(table_with_reports()).outgoing("p", 20.0, 10_000))

    def test_a_slow_server_is_sent_first_and_recorded(self):
        sender, receiver = table_with_reports(), table_of(6)
        slow = sender.candidates(SERVICE)[5]
        for turn in range(4):
            answer(slow, 0.080, 9.5 + 0.01 * turn, running=4)
        payload = topic_of(sender).outgoing("p", 10.0, 10_000)
        self.assertEqual(payload[SERVICE][0][0], slow.address)
        topic_of(receiver).incoming(payload, "p", 50.0)
        self.assertGreater(receiver.candidates(SERVICE)[5].slow_ratio, 2.0)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.integers(0, 600), st.integers(0, 20))
    def test_the_byte_limit_holds(self, limit_bytes, count):
        payload = topic_of(table_with_reports(count)).outgoing("p", 10.0, limit_bytes)
        if payload is not None:
            self.assertLessEqual(len(orjson.dumps(payload)), limit_bytes)

    def test_a_report_is_sent_once_in_the_send_interval(self):
        topic = topic_of(table_with_reports(2), send_interval_s=0.5)
        self.assertIsNotNone(topic.outgoing("p", 10.0, 10_000))
        self.assertIsNone(topic.outgoing("q", 10.1, 10_000))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=7) | st.dictionaries(st.just(SERVICE), inner)
            ),
            max_leaves=12,
        )
    )
    def test_a_malformed_payload_is_rejected_and_changes_nothing(self, payload):
        table = table_of(2)
        with contextlib.suppress(ValueError):
            topic_of(table).incoming(payload, "p", 10.0)
        for server in table.candidates(SERVICE):
            self.assertIsNone(server.report)
