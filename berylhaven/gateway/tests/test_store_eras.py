"""Tests of a store that is restored from an older copy and begins a new era."""

import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway import (
    FleetUpdate,
    HistoryGone,
    ServerEntry,
    ServerRemoved,
    SourceUnavailable,
)
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway.members._member import Member, decode_row
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.servers._server_table import RESTORED_ENTRY_HOLD_S, ServerTable
from berylhaven.gateway.store._fleet_follower import FleetFollower
from berylhaven.gateway.store._store_outages import EXPIRED_ENTRY_GRACE_S
from berylhaven.gateway.store._update_codec import decode_update, encode_update
from berylhaven.gateway.store._update_log import UpdateLog
from berylhaven.gateway.tests._gateway_path import at, configuration
from berylhaven.http1 import ConnectionPool


def entry(name, is_leaving=False, started_at_ms=1):
    return ServerEntry(
        name, "reads", f"{name}:80", "here", 4, is_leaving, started_at_ms=started_at_ms
    )


class RestorableStore:
    """A store of servers and a configuration that can return to a copy of itself."""

    def __init__(self):
        self.era = 1
        self.number = 1
        self.servers = {}
        self.configuration = configuration(1)
        self.events = []
        self.make_copy()

    @property
    def revision(self):
        return at(self.number, self.era)

    def put(self, change):
        self.number += 1
        if isinstance(change, ServerEntry):
            self.servers[change.server_id] = change
        elif isinstance(change, ServerRemoved):
            self.servers.pop(change.server_id, None)
        else:
            self.configuration = change
        self.events.append((self.number, change))

    def make_copy(self):
        self.copy = (
            self.number,
            dict(self.servers),
            self.configuration,
            list(self.events),
        )

    def restore(self):
        self.number, servers, self.configuration, events = self.copy
        self.servers, self.events = dict(servers), list(events)
        self.era += 1

    def read(self, allow_stale=False):
        changes = (self.configuration, *self.servers.values())
        return FleetUpdate(changes, self.revision)

    def watch(self, revision, wait_s=0.0):
        if revision.era != self.era:
            raise HistoryGone("another era")
        changes = tuple(c for n, c in self.events if n > revision.number)
        return FleetUpdate(changes, self.revision)


class FakeRelayedSource:
    """The store, or the log of a relay, as set before each step."""

    def __init__(self, store):
        self.store = store
        self.relay_log = None

    def read(self, allow_stale=False):
        return self.store.read()

    def watch(self, revision, wait_s):
        if self.relay_log is None:
            return self.store.watch(revision)
        if self.relay_log.revision is None:
            raise SourceUnavailable("the relay has no snapshot")
        update = self.relay_log.after(revision)
        return decode_update(encode_update(update))

    def wait_for_relay(self, revision):
        return None


class FollowingInstance:
    """A follower with its tables."""

    def __init__(self, store):
        self.source = FakeRelayedSource(store)
        self.table = ServerTable()
        self.routes = ActiveRoutes()
        self.log = UpdateLog()
        self.follower = FleetFollower(
            self.source,
            MemberTable(Member("own", "own", "here", 1, 0, True)),
            self.log,
            self.routes,
            self.table,
            ConnectionPool(lambda address: 1, 1_000),
            random.Random(1),
            EventLog(1, 0, 0),
        )
        # The runs that this instance has seen leaving.
        self.left_runs = set()

    def step(self, relay_log=None):
        self.source.relay_log = relay_log
        self.follower.step()
        self.left_runs |= {
            (r.entry.server_id, r.entry.started_at_ms)
            for r in self.table.records()
            if r.is_leaving
        }

    def usable_runs(self):
        now_s = monotonic_s()
        return {
            (r.entry.server_id, r.entry.started_at_ms)
            for r in self.table.candidates("reads")
            if not r.is_quiet(now_s)
        }


class StoreEraTest(unittest.TestCase):
    """In each case the numbers of the new era repeat those of the one before."""

    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.store = RestorableStore()
        for name in ("a", "b"):
            self.store.put(entry(name))
        self.store.make_copy()
        self.relay = FollowingInstance(self.store)
        self.other = FollowingInstance(self.store)
        for instance in (self.relay, self.other):
            instance.step()

    def step_all(self):
        # Each loss of history takes a step to see, and one to read a snapshot.
        for _ in range(3):
            self.relay.step()
            self.other.step(self.relay.log)

    def names(self, instance):
        return sorted(name for name, _ in instance.usable_runs())

    def end_grace(self):
        self.clock.advance_s(EXPIRED_ENTRY_GRACE_S + 0.1)
        for instance in (self.relay, self.other):
            instance.follower._remove_expired()

    def test_changes_under_repeated_numbers_are_not_skipped(self):
        self.store.put(entry("c"))
        self.step_all()
        self.store.restore()
        self.store.put(entry("d"))
        self.assertEqual(self.store.revision.number, at(4).number)
        self.step_all()
        for instance in (self.relay, self.other):
            self.assertEqual(self.names(instance), ["a", "b", "c", "d"])

    def test_a_server_that_the_copy_lacks_is_kept_for_the_grace_period(self):
        self.store.put(entry("c"))
        self.step_all()
        self.store.restore()
        self.step_all()
        self.assertEqual(self.names(self.other), ["a", "b", "c"])
        self.end_grace()
        for instance in (self.relay, self.other):
            self.assertEqual(self.names(instance), ["a", "b"])

    def test_a_server_that_left_is_not_used_when_the_copy_lists_it(self):
        self.store.put(entry("a", is_leaving=True))
        self.step_all()
        self.store.restore()
        self.step_all()
        for instance in (self.relay, self.other):
            self.assertEqual(self.names(instance), ["b"])

    def test_a_run_before_the_one_that_left_is_not_used_when_the_copy_lists_it(self):
        # Guards against requests to a run that was leaving before a later one began.
        self.store.put(entry("a", is_leaving=True))
        self.step_all()
        self.store.put(entry("a", started_at_ms=2))
        self.store.put(ServerRemoved("a"))
        self.step_all()
        self.store.restore()
        self.step_all()
        self.clock.advance_s(RESTORED_ENTRY_HOLD_S + 0.1)
        for instance in (self.relay, self.other):
            self.assertEqual(self.names(instance), ["b"])

    def test_a_removed_server_is_held_when_the_copy_lists_it(self):
        self.store.put(ServerRemoved("a"))
        self.step_all()
        self.store.restore()
        self.step_all()
        for instance in (self.relay, self.other):
            self.assertEqual(self.names(instance), ["b"])
        self.clock.advance_s(RESTORED_ENTRY_HOLD_S + 0.1)
        self.assertEqual(self.names(self.relay), ["a", "b"])

    def test_a_held_server_is_used_once_it_has_written_its_entry(self):
        self.store.put(ServerRemoved("a"))
        self.step_all()
        self.store.restore()
        self.step_all()
        self.store.put(entry("a"))
        self.step_all()
        self.assertEqual(self.names(self.relay), ["a", "b"])

    def test_the_configuration_of_a_running_instance_never_goes_back(self):
        self.store.put(configuration(7))
        self.step_all()
        self.store.restore()
        self.step_all()
        for instance in (self.relay, self.other):
            self.assertEqual(instance.routes.version, 7)
        self.store.put(configuration(8))
        self.step_all()
        self.assertEqual(self.other.routes.version, 8)

    def test_a_follower_ahead_of_its_relay_reads_a_snapshot(self):
        self.store.put(entry("c"))
        self.other.step()
        self.store.restore()
        for _ in range(3):
            self.relay.step()
        with self.assertRaises(HistoryGone):
            self.relay.log.after(self.other.follower._revision)
        self.step_all()
        self.end_grace()
        self.assertEqual(self.names(self.other), ["a", "b"])

    def test_a_snapshot_of_an_earlier_era_changes_nothing(self):
        earlier = self.store.read()
        self.store.restore()
        self.store.put(entry("c"))
        self.step_all()
        self.end_grace()
        self.other.source.read = lambda allow_stale: earlier
        self.other.follower._needs_snapshot = True
        self.other.step()
        self.assertEqual(self.names(self.other), ["a", "b", "c"])
        self.assertEqual(self.other.follower._revision, self.store.revision)

    def test_an_instance_that_was_cut_off_for_two_eras_follows(self):
        self.store.put(entry("c"))
        self.step_all()
        for name in ("d", "e"):
            self.store.restore()
            self.store.put(entry(name))
            self.relay.step()
            self.relay.step()
        self.store.put(entry("c"))
        self.step_all()
        self.end_grace()
        self.assertEqual(self.names(self.other), ["a", "b", "c", "e"])


class EraFormatTest(unittest.TestCase):
    def test_the_era_survives_a_member_row(self):
        member = Member("p", "c", "here", 1, 2, True, at(5, era=3), 7)
        decoded = decode_row(member.to_row())
        self.assertEqual((decoded.revision, decoded.store_available_s), (at(5, 3), 7))

    def test_rows_without_an_era_have_the_form_of_earlier_releases(self):
        row = Member("p", "c", "here", 1, 2, True, at(5), 7).to_row()
        self.assertEqual(row, ["p", "c", "here", 1, 2, 1, 5, 7])
        self.assertEqual(decode_row(row).revision, at(5))

    def test_an_era_orders_before_a_number(self):
        self.assertGreater(at(1, era=2), at(900, era=1))


class EraMachine(RuleBasedStateMachine):
    """Servers and the operator write, the store is restored, instances follow.

    Instances read the store or any other instance, in any order, and may restart.
    """

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.store = RestorableStore()
        self.instances = [FollowingInstance(self.store) for _ in range(3)]
        # The runs of servers that live, and whether each is leaving.
        self.runs = {}
        self.run_count = 0
        self.version = 1
        for name in "ab":
            self.start_server(name)
        self.store.make_copy()
        self.follow_all()

    def teardown(self):
        if hasattr(self, "clock"):
            self.settle()
            self.clock.__exit__(None, None, None)

    @rule(name=st.sampled_from("abc"))
    def start_server(self, name):
        self.run_count += 1
        self.runs[name] = entry(name, started_at_ms=self.run_count)
        self.store.put(self.runs[name])

    @precondition(lambda self: self.runs)
    @rule(data=st.data())
    def drain_server(self, data):
        name = data.draw(st.sampled_from(sorted(self.runs)))
        run = self.runs[name]
        self.runs[name] = entry(name, True, run.started_at_ms)
        self.store.put(self.runs[name])

    @precondition(lambda self: self.runs)
    @rule(data=st.data())
    def end_server(self, data):
        name = data.draw(st.sampled_from(sorted(self.runs)))
        del self.runs[name]
        self.store.put(ServerRemoved(name))

    @rule()
    def publish(self):
        self.version += 1
        self.store.put(configuration(self.version))

    @rule()
    def make_copy(self):
        self.store.make_copy()

    @rule()
    def restore(self):
        self.store.restore()

    @rule(seconds=st.sampled_from([0.1, 1.0, 7.0]))
    def wait(self, seconds):
        self.clock.advance_s(seconds)
        for instance in self.instances:
            instance.follower._remove_expired()

    @rule(index=st.integers(0, 2), relay=st.none() | st.integers(0, 2))
    def follow(self, index, relay):
        instance = self.instances[index]
        before = instance.routes.version or 0
        instance.step(None if relay is None else self.instances[relay].log)
        self.check_version(instance, before)

    @rule()
    def follow_all(self):
        # The first step may find the history gone, the second reads a snapshot.
        for index in (0, 1, 2):
            self.follow(index, None)
            self.follow(index, None)

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        self.instances[index] = FollowingInstance(self.store)

    def check_version(self, instance, before):
        if (instance.routes.version or 0) < before:
            raise AssertionError(f"version {before} went back")

    @invariant()
    def leaving_runs_stay_unused(self):
        for instance in getattr(self, "instances", ()):
            used = instance.usable_runs() & instance.left_runs
            if used:
                raise AssertionError(f"runs {used} are used although they were leaving")

    def settle(self):
        """Check that all instances agree with the servers once those have written."""
        for name in set(self.store.servers) - set(self.runs):
            self.store.put(ServerRemoved(name))
        for run in self.runs.values():
            self.store.put(run)
        self.store.put(configuration(self.version))
        for _ in range(3):
            for instance in self.instances:
                instance.step()
        self.clock.advance_s(RESTORED_ENTRY_HOLD_S + EXPIRED_ENTRY_GRACE_S + 0.1)
        ready = {
            (run.server_id, run.started_at_ms)
            for run in self.runs.values()
            if not run.is_leaving
        }
        for instance in self.instances:
            instance.follower._remove_expired()
            if instance.usable_runs() != ready:
                raise AssertionError(f"{instance.usable_runs()} instead of {ready}")
            if instance.routes.version != self.version:
                raise AssertionError(f"version {instance.routes.version} is active")


EraMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
EraMachineTest = EraMachine.TestCase
