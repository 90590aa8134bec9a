"""Tests of the limits of answers that callers receive."""

import time
import unittest

import eventlet

from berylhaven.client import Client, ClientSettings, NoEntryInstance
from berylhaven.client._attempt import NO_ANSWER, CallSpec, send_attempt
from berylhaven.client._bounded_http import create_http
from berylhaven.http1.tests._endless_sender import EndlessSender
from berylhaven.results import Outcome

HEAD = (
    b"HTTP/1.1 200 OK\r\nBerylhaven-Call-Id: a-0-1\r\nBerylhaven-Outcome: run\r\n"
    b"Berylhaven-Result: 200\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LIMIT_BYTES = 1_000_000
TIMEOUT_S = 0.3
# With the time that an answer of an entry instance may be late.
LATE_LIMIT_S = TIMEOUT_S + 0.25 + 0.5
CALL = CallSpec("s", "GET", "/", None, {})


class BoundedHttpTest(unittest.TestCase):
    """No sender keeps a caller beyond its deadline, or takes more than the limit."""

    def sender(self, answer, endless, pause_s=0.0):
        sender = EndlessSender([answer], endless, pause_s)
        self.addCleanup(sender.close)
        return sender.address

    def attempt(self, address):
        started_s = time.monotonic()
        with eventlet.Timeout(10 * LATE_LIMIT_S):
            attempt = send_attempt(
                create_http(1), address, CALL, "a-0-1", TIMEOUT_S, LIMIT_BYTES
            )
        self.assertLess(time.monotonic() - started_s, LATE_LIMIT_S)
        return attempt

    def test_what_is_too_large_is_a_call_that_ran_without_its_body(self):
        cases = {
            "chunks": (CHUNKED, b"10000\r\n" + bytes(65_536) + b"\r\n"),
            "chunks of two bytes": (CHUNKED, b"2\r\nab\r\n" * 4_096),
            "length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b""),
        }
        for name, (answer, endless) in cases.items():
            with self.subTest(name):
                attempt = self.attempt(self.sender(answer, endless))
                self.assertEqual((attempt.outcome, attempt.body), (Outcome.RUN, None))

    def test_what_trickles_ends_at_the_deadline(self):
        cases = {
            "body": (HEAD + b"Content-Length: 100000\r\n\r\n", b"x"),
            "chunks": (CHUNKED, b"1\r\nx\r\n"),
            "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n"),
            "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "fields": (HEAD + b"A: ", b"b"),
        }
        for name, (answer, endless) in cases.items():
            with self.subTest(name):
                address = self.sender(answer, endless, 0.02)
                self.assertIs(self.attempt(address), NO_ANSWER)

    def test_a_locate_answer_without_end_is_no_answer(self):
        address = self.sender(CHUNKED, b"10000\r\n" + bytes(65_536) + b"\r\n")
        client = Client(ClientSettings((address,)))
        with eventlet.Timeout(10.0), self.assertRaises(NoEntryInstance):
            client.entries("s")

    def test_a_connection_is_used_again_after_a_whole_answer(self):
        sender = EndlessSender([CHUNKED + b"2\r\nab\r\n0\r\n\r\n"])
        self.addCleanup(sender.close)
        http = create_http(1)
        for _ in range(3):
            attempt = send_attempt(
                http, sender.address, CALL, "a-0-1", TIMEOUT_S, LIMIT_BYTES
            )
            self.assertEqual(attempt.body, b"ab")
        self.assertEqual(sender.connection_count, 1)
