"""Tests of how evacuations reach an instance, also after failures of the store."""

import unittest

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from berylhaven.clock import ManualClock
from berylhaven.gateway import (
    DataCentreEvacuated,
    DataCentreReturned,
    FleetUpdate,
    InvalidEvacuation,
)
from berylhaven.gateway.servers._evacuations import RETURN_MARGIN_S, Evacuations
from berylhaven.gateway.store._fleet_source import EvacuationsListed
from berylhaven.gateway.store._store_outages import EXPIRED_ENTRY_GRACE_S
from berylhaven.gateway.store._update_codec import (
    CHANGE_TYPES,
    decode_update,
    encode_update,
)
from berylhaven.gateway.tests._gateway_path import at
from berylhaven.gateway.tests.test_store_eras import (
    FollowingInstance,
    RestorableStore,
    entry,
)

EVACUATED, RETURNED = DataCentreEvacuated("here"), DataCentreReturned("here")


class EvacuationStore(RestorableStore):
    """A store that also lists what is evacuated, under the keys of servers."""

    def put(self, change):
        if not isinstance(change, (DataCentreEvacuated, DataCentreReturned)):
            super().put(change)
            return
        self.number += 1
        self.events.append((self.number, change))
        if change == EVACUATED:
            self.servers["evacuation"] = change
        else:
            self.servers.pop("evacuation", None)


class EvacuationFollowerTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.store = EvacuationStore()
        self.store.put(entry("a"))
        self.store.make_copy()
        self.relay, self.other = (FollowingInstance(self.store) for _ in range(2))
        self.step_all()

    def step_all(self):
        # Each loss of history takes a step to see, and one to read a snapshot.
        for _ in range(3):
            self.relay.step()
            self.other.step(self.relay.log)

    def assert_used(self, is_used):
        for instance in (self.relay, self.other):
            self.assertEqual(bool(instance.usable_runs()), is_used)

    def wait(self, duration_s):
        self.clock.advance_s(duration_s)
        for instance in (self.relay, self.other):
            instance.follower._end_evacuations()

    def test_a_relay_passes_an_evacuation_and_its_end_on(self):
        self.store.put(EVACUATED)
        self.step_all()
        self.assert_used(False)
        self.store.put(entry("b"))
        self.step_all()
        self.assert_used(False)
        self.store.put(RETURNED)
        self.step_all()
        self.assert_used(True)

    def lose_history(self):
        for instance in (self.relay, self.other):
            instance.follower._needs_snapshot = True

    def test_a_snapshot_without_the_key_returns_the_data_centre(self):
        self.store.put(EVACUATED)
        self.step_all()
        self.store.servers.pop("evacuation")
        self.store.number += 1
        self.lose_history()
        self.relay.step()
        self.other.step()
        self.assert_used(True)

    def test_peers_get_the_return_that_a_snapshot_brought(self):
        self.store.put(EVACUATED)
        self.step_all()
        self.store.servers.pop("evacuation")
        self.store.number += 1
        self.relay.follower._needs_snapshot = True
        self.step_all()
        self.assert_used(True)

    def test_a_peer_within_the_gap_of_its_relay_gets_what_is_evacuated(self):
        # The relay's own state is the same on both sides of the gap.
        for wish, other in ((EVACUATED, RETURNED), (RETURNED, EVACUATED)):
            self.store.put(wish)
            self.step_all()
            self.store.put(other)
            self.other.step()
            self.store.put(wish)
            self.relay.follower._needs_snapshot = True
            self.step_all()
            self.assert_used(wish == RETURNED)

    def test_an_unreadable_value_neither_evacuates_nor_returns(self):
        invalid = InvalidEvacuation("here", "not JSON")
        for is_evacuated in (False, True):
            if is_evacuated:
                self.store.put(EVACUATED)
                self.step_all()
            self.store.servers["evacuation"] = invalid
            self.store.number += 1
            self.store.events.append((self.store.number, invalid))
            self.step_all()
            self.assert_used(not is_evacuated)
            self.lose_history()
            self.step_all()
            self.assert_used(not is_evacuated)

    def test_a_copy_that_lacks_the_key_returns_nothing_before_it_is_written_again(self):
        self.store.put(EVACUATED)
        self.step_all()
        self.store.restore()
        self.step_all()
        self.assert_used(False)
        self.wait(EXPIRED_ENTRY_GRACE_S)
        self.assert_used(False)
        self.store.put(EVACUATED)
        self.step_all()
        self.wait(60.0)
        self.assert_used(False)

    def test_a_key_that_was_removed_is_forgotten_after_the_grace_period(self):
        self.store.put(EVACUATED)
        self.step_all()
        self.store.restore()
        self.step_all()
        self.wait(EXPIRED_ENTRY_GRACE_S - 0.1)
        self.assert_used(False)
        self.wait(RETURN_MARGIN_S + 0.2)
        self.assert_used(True)

    def test_a_copy_with_a_former_key_evacuates_until_it_is_removed_again(self):
        self.store.put(EVACUATED)
        self.store.make_copy()
        self.store.put(RETURNED)
        self.step_all()
        self.store.restore()
        self.step_all()
        self.assert_used(False)
        self.store.put(RETURNED)
        self.step_all()
        self.wait(EXPIRED_ENTRY_GRACE_S + RETURN_MARGIN_S)
        self.assert_used(True)

    def test_a_peer_that_starts_during_the_grace_period_returns_it_too(self):
        self.store.put(EVACUATED)
        self.step_all()
        self.store.restore()
        self.step_all()
        self.other = FollowingInstance(self.store)
        snapshot = decode_update(encode_update(self.relay.follower.snapshot()))
        self.other.source.read = lambda allow_stale: snapshot
        self.other.step()
        self.assert_used(False)
        self.wait(EXPIRED_ENTRY_GRACE_S + RETURN_MARGIN_S)
        self.assert_used(True)

    def test_a_snapshot_of_an_earlier_release_returns_nothing(self):
        self.store.put(EVACUATED)
        self.step_all()
        document = orjson.loads(encode_update(self.store.read()))
        del document["evacuations"]
        document["revision"] += 1
        snapshot = decode_update(orjson.dumps(document))
        for instance in (self.relay, self.other):
            instance.source.read = lambda allow_stale: snapshot
        self.lose_history()
        self.relay.step()
        self.other.step()
        self.assert_used(False)


class EvacuationCodecTest(unittest.TestCase):
    UPDATE = FleetUpdate(
        (
            entry("a"),
            EVACUATED,
            RETURNED,
            InvalidEvacuation("x", "why"),
            EvacuationsListed(("x", "y")),
        ),
        at(3),
    )

    def test_evacuations_survive_encoding_and_decoding(self):
        self.assertEqual(decode_update(encode_update(self.UPDATE)), self.UPDATE)

    def test_instances_of_the_earlier_release_accept_the_update(self):
        # They reject an update with a change of a kind that they do not know.
        document = orjson.loads(encode_update(self.UPDATE))
        kinds = [name for name, _ in document["changes"]]
        self.assertEqual(kinds, ["server"])
        self.assertEqual(
            set(CHANGE_TYPES), {"server", "removed", "unusable", "configuration"}
        )

    def test_a_malformed_evacuation_is_skipped(self):
        for evacuations in (
            [["evacuated", {"data_centre": 1}]],
            [["listed", {"data_centres": "xy"}]],
            [["listed", {"data_centres": [1]}]],
            [["listed", {"data_centres": [[]]}]],
        ):
            document = orjson.loads(encode_update(self.UPDATE))
            document["evacuations"] = evacuations
            with self.subTest(evacuations):
                update = decode_update(orjson.dumps(document))
                self.assertEqual(update.changes, self.UPDATE.changes[:1])
                self.assertEqual(len(update.skipped), 1)
                self.assertFalse(update.is_complete)
        document["evacuations"] = "x"
        with self.assertRaises(ValueError):
            decode_update(orjson.dumps(document))


class EvacuationsTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.sampled_from("erp"), st.sampled_from("xy"))))
    def test_only_a_return_after_the_grace_period_ends_an_evacuation(self, steps):
        evacuations = Evacuations()
        evacuated, awaiting, grace_end_s = set(), set(), 5.0
        for now_s, (step, name) in enumerate(steps):
            if step == "e":
                evacuations.evacuate(name)
                evacuated.add(name)
                awaiting.discard(name)
            elif step == "r":
                evacuations.request_return(name)
                awaiting |= {name} & evacuated
            else:
                is_certain = now_s >= grace_end_s + RETURN_MARGIN_S
                expected = awaiting if is_certain else set()
                returned = evacuations.pop_returned(now_s, grace_end_s)
                self.assertEqual(set(returned), expected)
                evacuated -= expected
                awaiting -= expected
            self.assertEqual(evacuated, set(evacuations.data_centres))


class EvacuationMachine(RuleBasedStateMachine):
    """An operator evacuates and returns, the store is restored, instances restart.

    After each restore the operator's last write is repeated within two seconds. Each
    instance is in contact with the store or another instance every 0.4 s.
    """

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.store = EvacuationStore()
        self.store.put(entry("a"))
        self.store.make_copy()
        self.instances = [FollowingInstance(self.store) for _ in range(3)]
        self.wish = RETURNED
        # In how many tenths of a second the wish is written again; None if it is known.
        self.rewrite_in = None
        # Whether each instance knows of the evacuation that the operator wants.
        self.knows = [False] * 3

    def teardown(self):
        if hasattr(self, "clock"):
            self.settle()
            self.clock.__exit__(None, None, None)

    @rule(wish=st.sampled_from([EVACUATED, RETURNED]))
    def write(self, wish):
        if wish != self.wish:
            self.knows = [False] * 3
        self.wish, self.rewrite_in = wish, None
        self.store.put(wish)

    @rule()
    def make_copy(self):
        self.store.make_copy()

    @rule(rewrite_in=st.integers(0, 20))
    def restore(self, rewrite_in):
        self.store.restore()
        self.rewrite_in = rewrite_in

    @rule(index=st.integers(0, 2), relay=st.none() | st.integers(0, 2))
    def follow(self, index, relay):
        instance = self.instances[index]
        # The first step may find the history gone, the second reads a snapshot.
        for _ in range(2):
            instance.step(None if relay is None else self.instances[relay].log)
        is_current = instance.follower._revision == self.store.revision
        if is_current and self.rewrite_in is None and self.wish == EVACUATED:
            self.knows[index] = True

    @rule(tenths=st.integers(1, 35), relays=st.lists(st.integers(0, 2), max_size=2))
    def wait(self, tenths, relays):
        for tenth in range(tenths):
            self.clock.advance_s(0.1)
            if self.rewrite_in is not None:
                self.rewrite_in -= 1
                if self.rewrite_in < 0:
                    self.write(self.wish)
            if tenth % 4 == 3:
                for index, relay in enumerate([None, *relays, None, None][:3]):
                    self.follow(index, relay if relay != index else None)
            for instance in self.instances:
                instance.follower._end_evacuations()
            self.known_evacuations_hold()

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        self.instances[index] = FollowingInstance(self.store)
        self.knows[index] = False

    @invariant()
    def known_evacuations_hold(self):
        for instance, knows in zip(
            getattr(self, "instances", ()), getattr(self, "knows", ()), strict=True
        ):
            if knows and instance.usable_runs():
                raise AssertionError("a data centre was returned by no operator")

    def settle(self):
        """Check that all instances come to what the operator wants."""
        self.write(self.wish)
        for _ in range(2):
            self.wait(40, [])
        for instance in self.instances:
            is_used = bool(instance.usable_runs())
            if is_used != (self.wish == RETURNED):
                raise AssertionError(f"{self.wish} is not in force")


EvacuationMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None
)
EvacuationMachineTest = EvacuationMachine.TestCase


if __name__ == "__main__":
    unittest.main()
