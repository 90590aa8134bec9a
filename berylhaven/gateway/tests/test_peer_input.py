"""Tests that any bytes from a peer give a value, or a typed error or status."""

import io
import unittest
import zlib
from unittest import mock

import orjson
from hypothesis import given
from hypothesis import strategies as st

from berylhaven.gateway import (
    FleetUpdate,
    PeersApplication,
    ServerEntry,
    _peers_application,
)
from berylhaven.gateway.members._evidence_codec import (
    decode_observations,
    encode_observations,
)
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.members._member_codec import decode_members
from berylhaven.gateway.members._member_gossip import GOSSIP_PATH
from berylhaven.gateway.store._relayed_source import UPDATES_PATH
from berylhaven.gateway.store._update_codec import decode_update, encode_update
from berylhaven.gateway.tests._gateway_path import at, configuration
from berylhaven.quarantine import Answered, Strike

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=8,
)
ENTRY = ServerEntry("a", "reads", "a:80", "here", 4, False)
UPDATE = orjson.loads(encode_update(FleetUpdate((configuration(3), ENTRY), at(5, 2))))
OBSERVATIONS = [(Strike("f" * 32, "run", "id", 7), 1.0), (Answered("e" * 32), 2.0)]
EVIDENCE = orjson.loads(zlib.decompress(encode_observations(OBSERVATIONS, 3.0)))
ROW = Member("p", "c", "here", 1, 2, True, at(5, era=3), 7).to_row()


def places(document, path=()):
    """Return the paths of all values in a JSON document."""
    items = ()
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    found = [path] if path else []
    for key, value in items:
        found += places(value, (*path, key))
    return found


def replaced(document, path, value):
    """Return a copy of a document with another value at a path."""
    copy = orjson.loads(orjson.dumps(document))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return copy


class FakeInstance:
    """Decodes what the application passes on, as an instance does."""

    def answer_gossip(self, body):
        decode_members(body)
        return b"answer"

    def answer_evidence(self, body, is_complete):
        decode_observations(body, 0.0)
        return b"answer"

    def update_after(self, revision, wait_s):
        return FleetUpdate((), revision or at(1))


class PeerInputTest(unittest.TestCase):
    @given(st.sampled_from(places(UPDATE)), JSON_VALUES)
    def test_an_update_with_any_one_other_value_is_decoded_or_a_value_error(
        self, path, value
    ):
        body = orjson.dumps(replaced(UPDATE, path, value))
        try:
            self.assertIsInstance(decode_update(body), FleetUpdate)
        except ValueError as error:
            self.assertTrue(str(error))

    @given(JSON_VALUES)
    def test_any_json_is_an_update_or_a_value_error(self, document):
        try:
            decode_update(orjson.dumps(document))
        except ValueError as error:
            self.assertTrue(str(error))

    @given(st.sampled_from(places([ROW])), JSON_VALUES)
    def test_a_row_with_any_one_other_value_is_decoded_or_a_value_error(
        self, path, value
    ):
        body = zlib.compress(orjson.dumps(replaced([ROW], path, value)))
        try:
            self.assertIsInstance(decode_members(body).members[0], Member)
        except ValueError as error:
            self.assertTrue(str(error))

    @given(st.sampled_from(places(EVIDENCE)), JSON_VALUES)
    def test_evidence_with_any_one_other_value_is_decoded_or_a_value_error(
        self, path, value
    ):
        body = zlib.compress(orjson.dumps(replaced(EVIDENCE, path, value)))
        try:
            self.assertIsInstance(decode_observations(body, 3.0)[0], list)
        except ValueError as error:
            self.assertTrue(str(error))

    def test_evidence_keeps_its_content_and_age(self):
        body = encode_observations(OBSERVATIONS, 3.0)
        decoded, skipped = decode_observations(body, 13.0)
        self.assertEqual(skipped, [])
        self.assertEqual([o for o, _ in decoded], [o for o, _ in OBSERVATIONS])
        self.assertEqual([at_s for _, at_s in decoded], [11.0, 12.0])

    def test_a_list_in_place_of_an_object_is_a_value_error(self):
        for path in places(UPDATE):
            for value in ([], {}, None, 7, "x"):
                with self.subTest(path=path, value=value):
                    body = orjson.dumps(replaced(UPDATE, path, value))
                    try:
                        decode_update(body)
                    except ValueError as error:
                        self.assertTrue(str(error))

    def assert_skipped(self, path, value, kept):
        """Check that another value at a path costs one of two changes."""
        update = decode_update(orjson.dumps(replaced(UPDATE, path, value)))
        self.assertEqual(update.changes, (kept,))
        self.assertEqual(len(update.skipped), 1)
        self.assertFalse(update.is_complete)

    def test_an_entry_with_a_value_of_another_type_is_skipped(self):
        # It would raise errors later, whenever the server is considered for a request.
        entry = ("changes", 1, 1)
        for name, value in (
            ("server_id", 7),
            ("slot_count", "x"),
            ("is_leaving", 1),
            ("warmup_left_s", None),
            ("started_at_ms", 1.5),
        ):
            with self.subTest(name):
                self.assert_skipped((*entry, name), value, configuration(3))

    def test_a_version_of_another_type_is_skipped(self):
        self.assert_skipped(("changes", 0, 1, "version"), "7", ENTRY)

    def status(self, **environ):
        """Return the status of the answer to a request."""
        statuses = []
        application = PeersApplication(FakeInstance())
        application(environ, lambda status, headers: statuses.append(status))
        return statuses[0][:3]

    @given(
        st.sampled_from([GOSSIP_PATH, UPDATES_PATH, "/"]),
        st.text(max_size=20),
        st.text(max_size=8),
        st.binary(max_size=50),
    )
    def test_any_request_gets_a_status(self, path, query, length, body):
        status = self.status(
            PATH_INFO=path,
            QUERY_STRING=query,
            CONTENT_LENGTH=length,
            **{"wsgi.input": io.BytesIO(body)},
        )
        self.assertIn(status, ("200", "400", "404", "413"))

    def test_others_may_run_while_a_large_update_is_compressed(self):
        for size_bytes, turn_count in ((0, 0), (1, 1), (3_000_000, 10)):
            body = bytes(size_bytes)
            with mock.patch.object(_peers_application, "end_long_turn") as turns:
                compressed = _peers_application._compressed(body)
            self.assertEqual(zlib.decompress(compressed), body)
            self.assertGreaterEqual(turns.call_count, turn_count)

    def test_a_query_for_updates_with_a_malformed_number_is_refused(self):
        # A long wait failed in a division, and a long revision could not be encoded.
        for query in (
            "after=9&era=x",
            "after=" + "9" * 5_000,
            "after=1&era=" + "9" * 25,
            "after=-1&era=-1",
            "after=1&wait_ms=-5",
            "wait_ms=" + "9" * 400,
            "wait_ms=nan",
        ):
            with self.subTest(query[:20]):
                status = self.status(PATH_INFO=UPDATES_PATH, QUERY_STRING=query)
                self.assertEqual(status, "400")
        query = "after=" + "9" * 19
        status = self.status(PATH_INFO=UPDATES_PATH, QUERY_STRING=query)
        self.assertEqual(status, "200")
