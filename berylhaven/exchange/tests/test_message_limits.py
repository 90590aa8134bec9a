"""Tests that a message of a peer costs a bounded time, whatever it holds."""

import types
import unittest

import orjson

from berylhaven.controllers._leaving_topic import LeavingTopic
from berylhaven.discovery import ServerDirectory
from berylhaven.exchange import ExchangeMessage, UrgentSignal
from berylhaven.load import LoadTable, LoadTopic
from berylhaven.membership import PeerTable

# Less than the peers' port accepts.
ROW_COUNT = 20_000
SENDER = ["n", 1, 1, 1, 1, 1, 1]
ROWS = {
    "f": ["", "", "", "", 0, "", 0, 0, 0, 0, 0, "", 0],
    "p": ["", 0, 0, 0, 0, 0, 0],
    "d": ["", 0],
    "w": "",
}


class MessageLimitsTest(unittest.TestCase):
    """A megabyte of rows, which holds the event loop for seconds, is malformed."""

    def test_members(self):
        for key, row in ROWS.items():
            with self.subTest(key), self.assertRaisesRegex(ValueError, "20000 rows"):
                document = {"s": SENDER, "m": {key: [row] * ROW_COUNT}}
                ExchangeMessage.from_bytes(orjson.dumps(document))

    def test_a_full_answer_is_accepted(self):
        raw = orjson.dumps({"s": SENDER, "m": {"f": [ROWS["f"]] * 256}})
        self.assertEqual(len(ExchangeMessage.from_bytes(raw).members.rows), 256)

    def test_leaving_servers(self):
        directory = ServerDirectory()
        context = types.SimpleNamespace(
            server_directory=directory,
            peer_table=PeerTable("p"),
            urgent_signal=UrgentSignal(),
        )
        rows = [[f"s:{number}", 1] for number in range(ROW_COUNT)]
        with self.assertRaisesRegex(ValueError, "20000 rows"):
            LeavingTopic(context).incoming(rows, "p", 1.0)
        self.assertEqual(directory.leaving_marks(), [])

    def test_load_reports(self):
        topic = LoadTopic(types.SimpleNamespace(load_table=LoadTable()))
        row = ["s", 0, 0, 0, 1, 0]
        for payload in (
            {"s": [row] * ROW_COUNT},
            {str(number): [] for number in range(ROW_COUNT)},
        ):
            with self.assertRaisesRegex(ValueError, "limit"):
                topic.incoming(payload, "p", 1.0)
