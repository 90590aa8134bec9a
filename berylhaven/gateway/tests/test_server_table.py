"""Tests of grouping the records of backend servers."""

import unittest
from unittest import mock

from berylhaven.clock import ManualClock
from berylhaven.gateway import ServerEntry
from berylhaven.gateway.servers import _server_table
from berylhaven.gateway.servers._server_table import ServerTable


def entry(name, service="reads", data_centre="here", slot_count=4):
    return ServerEntry(name, service, f"{name}:80", data_centre, slot_count, False)


def names(records):
    return [record.entry.server_id for record in records]


class ServerTableTest(unittest.TestCase):
    def setUp(self):
        clock = ManualClock()
        clock.__enter__()
        self.addCleanup(clock.__exit__, None, None, None)
        self.table = ServerTable()

    def test_thousands_of_changes_group_the_records_once(self):
        # Each change grouped all records: a snapshot of 3,000 servers took 0.7 s.
        with mock.patch.object(
            _server_table, "_Groups", wraps=_server_table._Groups
        ) as groups:
            for number in range(1_000):
                self.table.put(entry(f"s{number}"), 0.0)
            for number in range(500):
                self.table.remove(f"s{number}")
            self.assertEqual(len(self.table.candidates("reads")), 500)
            self.assertEqual(len(self.table.in_data_centre("here")), 500)
            self.table.candidates("reads")
        self.assertEqual(groups.call_count, 1)

    def test_each_change_shows_in_the_next_choice(self):
        self.table.put(entry("a"), 0.0)
        self.assertEqual(names(self.table.candidates("reads")), ["a"])
        self.table.put(entry("b"), 0.0)
        self.assertEqual(names(self.table.candidates("reads")), ["a", "b"])
        # The same run may move to another service and data centre.
        self.table.put(entry("a", "writes", "there"), 0.0)
        self.assertEqual(names(self.table.candidates("reads")), ["b"])
        self.assertEqual(names(self.table.candidates("writes")), ["a"])
        self.assertEqual(names(self.table.in_data_centre("there")), ["a"])
        self.table.remove("b")
        self.assertEqual(self.table.candidates("reads"), ())
        self.assertFalse(self.table.is_evacuated("reads"))
        self.table.evacuations.evacuate("there")
        self.assertTrue(self.table.is_evacuated("writes"))
