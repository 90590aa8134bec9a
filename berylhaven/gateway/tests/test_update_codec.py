"""Tests that updates with limits for cold servers pass between releases."""

import unittest

import orjson

from berylhaven.gateway import FleetUpdate
from berylhaven.gateway.store._update_codec import decode_update, encode_update
from berylhaven.gateway.tests._gateway_path import READS, at, configuration


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
