"""Tests of the check of whether a server has ended."""

import unittest
from unittest import mock

import eventlet

from berylhaven.gateway import ServerEntry
from berylhaven.gateway.servers import _server_end_check
from berylhaven.gateway.servers._evacuations import Evacuations
from berylhaven.gateway.servers._server_end_check import ServerEndCheck
from berylhaven.gateway.tests._gateway_path import (
    HEALTH_PATH,
    READS,
    FakeDialect,
    free_address,
)
from berylhaven.http1 import ConnectionPool, UpstreamConnection

SHORT_S = 0.05


class ServerEndCheckTest(unittest.TestCase):
    def test_a_check_that_ends_while_it_connects_keeps_no_connection(self):
        # Guards against connections that count as in use for ever, so that requests
        # find none left.
        address = free_address()
        pool = ConnectionPool(lambda address: 1, 1_000)
        check = ServerEndCheck(pool, FakeDialect(), Evacuations())
        entry = ServerEntry("a", READS, address, "here", 4, False)

        def never_open(connection, timeout_s):
            eventlet.sleep(10 * SHORT_S)

        with (
            mock.patch.object(UpstreamConnection, "open", never_open),
            mock.patch.object(_server_end_check, "CHECK_TIMEOUT_S", SHORT_S),
        ):
            self.assertFalse(check.has_ended(entry, HEALTH_PATH))
        self.assertEqual(pool.counts(address).busy_count, 0)
