"""Tests of how much a relay sends while configurations change quickly."""

import dataclasses
import unittest
import zlib

from berylhaven.clock import ManualClock
from berylhaven.gateway import FleetUpdate, PeersApplication, ServerEntry
from berylhaven.gateway.store._fleet_follower import WATCH_PAUSE_S
from berylhaven.gateway.store._relayed_source import UPDATES_PATH
from berylhaven.gateway.store._update_log import UpdateLog
from berylhaven.gateway.tests._gateway_path import at, configuration

# The narrowest link of an instance, and the most instances of a data centre.
LINK_BYTES_PER_S = 5_000_000 / 8
LOCAL_INSTANCE_COUNT = 63
ROUTE_COUNT = 50


def large_configuration(version):
    """Return a configuration with as many routes as those of large deployments."""
    one = configuration(version)
    route = one.routes[0]
    routes = tuple(
        dataclasses.replace(
            route, name=f"r-{n * 7919:08x}", prefix=f"/{n * 104729:x}/{n}/"
        )
        for n in range(ROUTE_COUNT)
    )
    return dataclasses.replace(one, routes=routes)


class RelayInstance:
    """Answers requests for updates from a log."""

    def __init__(self, log):
        self.log = log

    def update_after(self, revision, wait_s):
        return self.log.wait_after(revision, wait_s)


class UpdateSizeTest(unittest.TestCase):
    def setUp(self):
        self.log = UpdateLog()
        self.log.reset(at(1))

    def change(self, *changes):
        revision = at(self.log.revision.number + 1)
        self.log.add(FleetUpdate(changes, revision))

    def answer(self, after, accepted=""):
        headers = {}

        def start_response(status, pairs):
            headers.update(pairs)

        environ = {"PATH_INFO": UPDATES_PATH, "QUERY_STRING": f"after={after}"}
        if accepted:
            environ["HTTP_ACCEPT_ENCODING"] = accepted
        body = b"".join(
            PeersApplication(RelayInstance(self.log))(environ, start_response)
        )
        return headers, body

    def test_a_peer_that_is_behind_gets_only_the_newest_configuration(self):
        server = ServerEntry("a", "reads", "a:80", "here", 4, False)
        for version in (5, 9, 7):
            self.change(configuration(version))
        self.change(server)
        self.assertEqual(self.log.after(at(1)).changes, (configuration(9), server))

    def test_updates_for_a_whole_data_centre_fit_into_a_narrow_link(self):
        for version in range(2, 6):
            self.change(large_configuration(version))
        with ManualClock():
            _, body = self.answer(after=1, accepted="deflate")
        limit_bytes = LINK_BYTES_PER_S * WATCH_PAUSE_S / LOCAL_INSTANCE_COUNT
        self.assertLess(len(body), limit_bytes)

    def test_only_peers_that_accept_compression_get_compressed_updates(self):
        self.change(large_configuration(2))
        with ManualClock():
            headers, plain = self.answer(after=1)
            self.assertNotIn("Content-Encoding", headers)
            headers, body = self.answer(after=1, accepted="deflate")
        self.assertEqual(headers["Content-Encoding"], "deflate")
        self.assertEqual(zlib.decompress(body), plain)
