"""Tests that updates with limits for cold servers pass between releases."""

import dataclasses
import unittest
from unittest import mock

import orjson

from berylhaven.bounded_json import PARTS_LIMIT, count_parts
from berylhaven.gateway import FleetUpdate, ServerEntry
from berylhaven.gateway.store import _update_codec
from berylhaven.gateway.store._update_codec import decode_update, encode_update
from berylhaven.gateway.tests._gateway_path import READS, at, configuration
from berylhaven.routes import ServiceSpec


class UpdateCodecTest(unittest.TestCase):
    def document(self, **changes):
        update = FleetUpdate((configuration(**changes),), at(1))
        return orjson.loads(encode_update(update))

    def test_limits_for_cold_servers_are_kept(self):
        sent = configuration(warmup=(30.0, 3.4))
        update = decode_update(encode_update(FleetUpdate((sent,), at(1))))
        self.assertEqual(update.changes, (sent,))

    def test_an_instance_of_the_earlier_release_accepts_the_services(self):
        # It rejects a service with an unknown field, and with it the whole update.
        [[_, fields]] = self.document(warmup=(30.0, 3.4))["changes"]
        for service in fields["services"].values():
            self.assertEqual(
                sorted(service), ["connection_limit", "health_path", "name"]
            )

    def test_an_update_of_the_earlier_release_sets_no_limit(self):
        document = self.document(warmup=(30.0, 3.4))
        del document["changes"][0][1]["warmups"]
        [decoded] = decode_update(orjson.dumps(document)).changes
        self.assertEqual(decoded, configuration())

    def test_unknown_fields_of_a_limit_are_ignored_and_bad_ones_skipped(self):
        document = self.document(warmup=(30.0, 3.4))
        warmup = document["changes"][0][1]["warmups"][READS]
        warmup["later_field"] = 1
        decode_update(orjson.dumps(document))
        warmup["warmup_s"] = "long"
        update = decode_update(orjson.dumps(document))
        self.assertEqual((update.changes, update.is_complete), ((), False))


class LargeUpdateTest(unittest.TestCase):
    def test_a_large_update_is_decoded_change_by_change(self):
        # Far behind, a peer gets thousands of changes, which took seconds in one turn.
        entries = [ServerEntry(f"s{n}", "a", "a:1", "b", 4, False) for n in range(100)]
        sent = FleetUpdate((configuration(), *entries * 250), at(1))
        with mock.patch.object(_update_codec, "end_long_turn") as end_long_turn:
            body = encode_update(sent)
        self.assertGreaterEqual(end_long_turn.call_count, 50)
        self.assertGreater(count_parts(body), PARTS_LIMIT)
        with mock.patch.object(_update_codec, "end_long_turn") as end_long_turn:
            update = decode_update(body)
        self.assertEqual(update.changes, sent.changes)
        self.assertGreater(end_long_turn.call_count, 25_000)
        with self.assertRaises(ValueError):
            decode_update(body[:-1])

    def test_the_sentences_about_skipped_changes_are_bounded(self):
        # Each malformed change of 14 bytes left a sentence of a hundred.
        document = orjson.loads(encode_update(FleetUpdate((), at(1))))
        document["changes"] = [["server", {}]] * 2 * _update_codec.SKIPPED_LIMIT
        update = decode_update(orjson.dumps(document))
        self.assertEqual(len(update.skipped), _update_codec.SKIPPED_LIMIT)
        self.assertFalse(update.is_complete)

    def test_a_change_of_many_parts_is_refused(self):
        document = orjson.loads(encode_update(FleetUpdate((), at(1))))
        document["changes"] = [["server", [0] * (PARTS_LIMIT + 1)]]
        with self.assertRaises(ValueError):
            decode_update(orjson.dumps(document))

    def test_others_may_run_while_a_configuration_is_encoded_and_decoded(self):
        sent = configuration()
        route = sent.routes[0]
        specs = {f"s{n}": ServiceSpec(f"s{n}", "/health", 1) for n in range(1_000)}
        sent = dataclasses.replace(sent, routes=(route,) * 1_000, services=specs)
        with mock.patch.object(_update_codec, "end_long_turn") as end_long_turn:
            body = encode_update(FleetUpdate((sent,), at(1)))
            # After each service, and twice in the routes.
            self.assertGreaterEqual(end_long_turn.call_count, 1_002)
            end_long_turn.reset_mock()
            self.assertEqual(decode_update(body).changes, (sent,))
        self.assertGreaterEqual(end_long_turn.call_count, 2_000)
