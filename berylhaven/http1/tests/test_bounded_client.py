"""Tests of the limits of answers, against senders that keep to none."""

import tracemalloc
import unittest
import zlib

import eventlet
import urllib3

from berylhaven.http1 import AnswerRefused, AnswerTooLarge, BoundedClient
from berylhaven.http1.tests._endless_sender import CHUNKED, HEAD, EndlessSender

LIMIT_BYTES = 1_000_000
ENDLESS_TIMEOUT_S = 5.0
DEFLATED = HEAD + b"Content-Encoding: deflate\r\nContent-Length: %d\r\n\r\n%b"


class BoundedClientTest(unittest.TestCase):
    def setUp(self):
        self.client = BoundedClient(LIMIT_BYTES)

    def sender(self, *arguments, **kwargs):
        sender = EndlessSender(*arguments, **kwargs)
        self.addCleanup(sender.close)
        return sender

    def get(self, sender, timeout_s=ENDLESS_TIMEOUT_S):
        return self.client.request("GET", sender.url, timeout_s)

    def test_bodies_without_end_are_cut_off_at_the_limit(self):
        cases = {
            "chunks": (CHUNKED, b"10000\r\n" + bytes(65_536) + b"\r\n"),
            "no length": (HEAD + b"\r\n", bytes(65_536)),
            "negative chunk": (CHUNKED + b"-1\r\n", bytes(65_536)),
        }
        for name, (head, endless) in cases.items():
            with self.subTest(name):
                sender = self.sender([head], endless)
                tracemalloc.start()
                with self.assertRaises(AnswerTooLarge):
                    self.get(sender)
                peak_bytes = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
                self.assertLess(peak_bytes, 3 * LIMIT_BYTES)
                # The next answer does not begin with the rest of this one.
                with self.assertRaises(AnswerTooLarge):
                    self.get(sender)
                self.assertEqual(sender.connection_count, 2)

    def test_framing_that_costs_more_than_it_carries_is_refused(self):
        sender = self.sender([CHUNKED], b"2\r\nab\r\n" * 4_096)
        with self.assertRaises(AnswerRefused) as raised:
            self.get(sender)
        self.assertNotIsInstance(raised.exception, AnswerTooLarge)
        # A fifth of the limit in small chunks is sound.
        body = b"8\r\n01234567\r\n" * 25_000 + b"0\r\n\r\n"
        self.assertEqual(len(self.get(self.sender([CHUNKED + body])).data), 200_000)

    def test_a_length_over_the_limit_is_refused_before_the_body(self):
        sender = self.sender([HEAD + b"Content-Length: 1000000000000\r\n\r\n"])
        with self.assertRaises(AnswerTooLarge):
            self.get(sender)

    def test_an_answer_that_goes_on_for_too_long_is_late(self):
        cases = {
            "nothing": (b"", b""),
            "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "slow body": (HEAD + b"Content-Length: 1000\r\n\r\n", b"x"),
            "slow trailers": (CHUNKED + b"0\r\n", b"A: b\r\n"),
        }
        for name, (head, endless) in cases.items():
            with self.subTest(name):
                sender = self.sender([head], endless, pause_s=0.01)
                with self.assertRaises(TimeoutError):
                    self.get(sender, 0.2)

    def test_a_compressed_answer_is_decoded(self):
        body = b"abc" * 1_000
        sender = self.sender(
            [DEFLATED % (len(zlib.compress(body)), zlib.compress(body))]
        )
        self.assertEqual(self.get(sender).data, body)

    def test_a_small_answer_that_expands_beyond_the_limit_is_refused(self):
        bomb = zlib.compress(bytes(100 * LIMIT_BYTES))
        sender = self.sender([DEFLATED % (len(bomb), bomb)])
        tracemalloc.start()
        with self.assertRaises(AnswerTooLarge):
            self.get(sender)
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertLess(peak_bytes, 4 * LIMIT_BYTES)

    def test_malformed_encodings_are_refused(self):
        whole = zlib.compress(b"abc")
        for body in (whole[:-2], whole + b"x", b"not compressed", b""):
            with self.subTest(body):
                sender = self.sender([DEFLATED % (len(body), body)])
                with self.assertRaises(AnswerRefused):
                    self.get(sender)
        sender = self.sender(
            [HEAD + b"Content-Encoding: br\r\nContent-Length: 0\r\n\r\n"]
        )
        with self.assertRaises(AnswerRefused):
            self.get(sender)

    def test_malformed_framing_raises_an_error_that_callers_handle(self):
        for body in (b"-%d\r\nab" % 10**30, b"x\r\n", b"5\r\nab", b"\r\n"):
            with self.subTest(body):
                sender = self.sender([CHUNKED + body], b"")
                with self.assertRaises((OSError, urllib3.exceptions.HTTPError)):
                    self.get(sender, 0.2)

    def test_a_connection_is_used_again_after_a_whole_answer(self):
        answers = [
            HEAD + b"Content-Length: 2\r\n\r\nab",
            CHUNKED + b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
            HEAD + b"Content-Length: 0\r\n\r\n",
            HEAD + b"Content-Length: 1\r\n\r\nc",
        ]
        sender = self.sender(answers)
        bodies = [self.get(sender).data for _ in answers]
        self.assertEqual(bodies, [b"ab", b"ab", b"", b"c"])
        self.assertEqual(sender.connection_count, 1)

    def test_a_timeout_of_the_caller_closes_the_connection(self):
        answer = HEAD + b"Content-Length: 1000\r\n\r\nabc"
        sender = self.sender([answer, HEAD + b"Content-Length: 2\r\n\r\nab"])
        with eventlet.Timeout(0.1, False):
            self.get(sender)
        self.assertEqual(self.get(sender).data, b"ab")
        self.assertEqual(sender.connection_count, 2)
