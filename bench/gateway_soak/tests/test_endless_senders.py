"""Peers that send without end beside callers of something sound."""

import unittest

from bench.gateway_soak import SenderOptions, draw_options, run_endless_senders
from standins._endless_bytes import CALLER, KINDS, PROBE, SERVER, STORE

SEND_S = 2.0
# The memory of announced lengths grows with the requests that wait for their bodies.
SLOW_SEND_S = 3.0


class EndlessSenderTest(unittest.TestCase):
    """Runs with real processes, judged by what was promised; each takes about 5 s."""

    def assert_harmless(self, role, *kinds, **options):
        """Run senders, and require what holds beside them."""
        options.setdefault("duration_s", SEND_S)
        report = run_endless_senders(SenderOptions(role, kinds, **options))
        self.assertEqual(report.broken, [])

    def test_chunks_of_servers_do_not_fill_the_memory(self):
        self.assert_harmless(SERVER, "chunks", sender_count=4, stops=True)

    def test_answers_without_a_length_do_not_fill_the_memory(self):
        self.assert_harmless(SERVER, "no-length", sender_count=4)

    def test_announced_lengths_are_not_allocated(self):
        # The whole length was allocated before a byte had come.
        kinds = ("slow-length", "stalled-length")
        self.assert_harmless(
            SERVER, *kinds, sender_count=4, duration_s=SLOW_SEND_S, stops=True
        )

    def test_a_huge_announced_length_does_not_fill_the_memory(self):
        self.assert_harmless(SERVER, "huge-length", sender_count=4, stops=True)

    def test_a_service_is_served_as_before_after_large_answers_of_four_servers(self):
        # Requests were refused long after the server had gone.
        self.assert_harmless(SERVER, "whole-answers", sender_count=4)

    def test_tiny_chunks_of_a_server_do_not_hold_the_event_loop(self):
        self.assert_harmless(SERVER, "tiny-chunks")

    def test_chunk_extensions_of_a_server_do_not_hold_the_event_loop(self):
        self.assert_harmless(SERVER, "chunk-extensions", stops=True)

    def test_answers_to_probes_do_not_hold_the_event_loop(self):
        self.assert_harmless(
            PROBE, "chunks", "tiny-chunks", "huge-length", sender_count=3, stops=True
        )

    def test_chunks_of_the_store_do_not_fill_the_memory(self):
        self.assert_harmless(STORE, "chunks", stops=True)

    def test_a_store_without_a_length_does_not_fill_the_memory(self):
        self.assert_harmless(STORE, "no-length", stops=True)

    def test_tiny_chunks_of_the_store_do_not_hold_the_event_loop(self):
        self.assert_harmless(STORE, "tiny-chunks")

    def test_tiny_chunks_of_one_caller_do_not_hold_the_event_loop(self):
        self.assert_harmless(CALLER, "tiny-chunks", stops=True)

    def test_others_are_served_at_once_after_four_callers_with_tiny_chunks(self):
        # The event loop was held for many seconds after the callers had gone.
        self.assert_harmless(CALLER, "tiny-chunks", sender_count=4)

    def test_fast_uploads_of_four_callers_do_not_hold_the_event_loop(self):
        self.assert_harmless(CALLER, "uploads", sender_count=4)

    def test_bytes_that_are_no_request_do_not_hold_the_event_loop(self):
        self.assert_harmless(CALLER, "junk", sender_count=4, stops=True)

    def test_chunk_extensions_of_callers_do_not_hold_the_event_loop(self):
        self.assert_harmless(CALLER, "chunk-extensions", sender_count=4, stops=True)

    def test_pipelined_requests_that_are_never_read_do_not_hold_the_event_loop(self):
        self.assert_harmless(CALLER, "unread-requests", sender_count=4)

    def test_connections_to_the_other_ports_do_not_hold_the_event_loop(self):
        ports = ("peers", "locate", "metrics", "readiness")
        self.assert_harmless(
            CALLER, "tiny-chunks", ports=ports, sender_count=4, stops=True
        )

    def test_heads_trailers_and_junk_of_servers_disturb_nobody(self):
        kinds = ("fields", "trailers", "interim-answers", "junk")
        self.assert_harmless(SERVER, *kinds, sender_count=4, stops=True)

    def test_draws_are_repeated_by_their_seed_and_cover_all_kinds(self):
        draws = [draw_options(seed) for seed in range(300)]
        self.assertEqual(draws, [draw_options(seed) for seed in range(300)])
        self.assertEqual({kind for draw in draws for kind in draw.kinds}, set(KINDS))
