"""Tests of the limits of what an entry instance reads as an HTTP client."""

import tracemalloc
import unittest
from unittest import mock

import eventlet

from berylhaven.backend import ProbeClient, ProbeFailed, ProbeTimeout
from berylhaven.cli import _operators_client
from berylhaven.discovery import (
    ConfigurationService,
    InstanceListService,
    PlatformUnavailable,
)
from berylhaven.entry.tests._local_fleet import SETTINGS
from berylhaven.exchange import PeerClient, PeerTraffic, PeerUnreachable
from berylhaven.http1.tests._endless_sender import CHUNKED, HEAD, EndlessSender
from berylhaven.results import EntryUnreachable, UnexpectedAnswer
from berylhaven.settings import parse_settings

TRIAL_TIMEOUT_S = 10.0
# The largest answer that one of the clients accepts is 16 MB.
PEAK_LIMIT_BYTES = 40_000_000
SHORT_TIMEOUT_S = 0.2
# By the hub's clock; a late switch of the test itself is included.
LATE_LIMIT_S = 2.0


class BoundedClientsTest(unittest.TestCase):
    """No peer that is asked takes more memory or time than its answers are allowed."""

    def sender(self, answer, endless, pause_s=0.0):
        sender = EndlessSender([answer], endless, pause_s)
        self.addCleanup(sender.close)
        return sender.address

    def trials(self, address):
        """Return for each client a request and the errors that its callers handle."""
        port = address.rpartition(":")[2]
        text = SETTINGS.format(
            ports=(1, 2, 3),
            data_centre="a",
            firm="kivu",
            seeds="",
            configuration_port=port,
            list_port=port,
        ).replace("[log]", f"timeout_s = {SHORT_TIMEOUT_S}\n[log]")
        settings = parse_settings(text)
        service = ConfigurationService(settings.platform)
        instances = InstanceListService(settings.platform, settings.instance)
        peers = PeerClient(PeerTraffic(), SHORT_TIMEOUT_S)
        return {
            "configuration service": (service.read, PlatformUnavailable),
            "watch": (lambda: service.watch(1, 0.1), PlatformUnavailable),
            "instance list": (instances.read, PlatformUnavailable),
            "peer": (lambda: peers.request("GET", address, "/"), PeerUnreachable),
            "probe": (lambda: ProbeClient().probe(address, 1.0), ProbeFailed),
            "operators": (
                lambda: _operators_client.fetch_status(address),
                (EntryUnreachable, UnexpectedAnswer),
            ),
        }

    def test_an_answer_without_end_is_a_failure_of_bounded_size(self):
        chunk = b"10000\r\n" + bytes(65_536) + b"\r\n"
        address = self.sender(CHUNKED, chunk * 4)
        for name, (request, errors) in self.trials(address).items():
            with self.subTest(name), eventlet.Timeout(TRIAL_TIMEOUT_S):
                tracemalloc.start()
                try:
                    with self.assertRaises(errors):
                        request()
                    peak_bytes = tracemalloc.get_traced_memory()[1]
                finally:
                    tracemalloc.stop()
                self.assertLess(peak_bytes, PEAK_LIMIT_BYTES)

    def test_an_answer_that_trickles_is_late_as_a_whole(self):
        # Each byte comes within the time limit of a read.
        address = self.sender(HEAD + b"Content-Length: 10000\r\n\r\n", b"x", 0.05)
        module = "berylhaven.{}.TRANSFER_TIMEOUT_S"
        with (
            mock.patch(module.format("discovery._http"), SHORT_TIMEOUT_S),
            mock.patch(module.format("exchange._peer_client"), SHORT_TIMEOUT_S),
            mock.patch.object(_operators_client, "TIMEOUT_S", SHORT_TIMEOUT_S),
        ):
            for name, (request, errors) in self.trials(address).items():
                with self.subTest(name), eventlet.Timeout(LATE_LIMIT_S):
                    with self.assertRaises(errors):
                        request()

    def test_a_probe_that_trickles_is_a_busy_server(self):
        address = self.sender(HEAD + b"Content-Length: 10000\r\n\r\n", b"x", 0.05)
        with self.assertRaises(ProbeTimeout):
            ProbeClient().probe(address, SHORT_TIMEOUT_S)
