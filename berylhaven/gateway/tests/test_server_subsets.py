"""Tests of an instance of a large fleet, which meets each server rarely."""

import functools
import unittest
from collections import Counter

from berylhaven.clock import monotonic_s
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.servers._server_subsets import ServerSubsets
from berylhaven.gateway.tests._gateway_path import READS
from berylhaven.gateway.tests._sparse_instance import SparseInstance
from berylhaven.routes import RequestKind
from berylhaven.subsets import SUBSET_SIZE

READ, ORDER = RequestKind.IDEMPOTENT, RequestKind.ONCE_ONLY
# Routes of docs/HARD-LOAD.md: servers, slots, work in s, objective in s, kind and
# requests a second of one instance; by deployment, with its instances and data centres.
DEPLOYMENTS = {
    (119, 3): (
        (58, 2, 0.141, 0.481, READ, 154 / 119),
        (32, 2, 0.18, 0.587, ORDER, 65.9 / 119),
        (8, 2, 0.16, 1.717, ORDER, 17.9 / 119),
        (66, 2, 0.544, 1.592, READ, 43.9 / 119),
    ),
    (230, 4): (
        (107, 4, 0.33, 0.912, READ, 237 / 230),
        (70, 4, 0.433, 1.128, ORDER, 118 / 230),
        (24, 4, 0.276, 0.63, ORDER, 65.2 / 230),
    ),
}
# The share of a service's slots in use: the rates and times of docs/HARD-LOAD.md with
# the tail and the slow spells.
USED_SHARE = 0.29
NEW_CONNECTIONS_LIMIT = 0.3
PROBES_LIMIT = 1.5
BUSIEST_LIMIT = 1.2


class FakeMembers:
    """A membership table without changes."""

    def __init__(self, instance_count, data_centre_count, own_number=0):
        self.members = [
            Member(f"10.0.{n}.7:81", "", centre(n, data_centre_count), 1, 0, True)
            for n in range(instance_count)
        ]
        self.own = self.members.pop(own_number)

    def live(self, now_s):
        return self.members


class FakeLog:
    """Keeps the events of the log lines."""

    def __init__(self):
        self.events = []

    def write(self, component, event, **fields):
        self.events.append(event)


def centre(number, count):
    return "here" if number % count == 0 else f"there-{number % count}"


def instance(route, fleet=(230, 4), own_number=0, log=None, seed=1, has_subsets=True):
    """Return an instance of a fleet that serves one route."""
    server_count, slots, work_s, objective_s, kind, _ = route
    names = [(f"s{n}", centre(n, fleet[1])) for n in range(server_count)]

    def make_subsets(sparse):
        return ServerSubsets(
            FakeMembers(*fleet, own_number),
            sparse.table,
            lambda address: sparse.pool.counts(address).idle_count > 0,
            log or FakeLog(),
        )

    return SparseInstance(
        names,
        slots,
        USED_SHARE,
        work_s,
        objective_s,
        kind,
        seed,
        make_subsets if has_subsets else None,
    )


ROSTER = DEPLOYMENTS[230, 4][0]
REQUESTS = 1_000
SEEDS = (1, 2)


@functools.cache
def per_request(fleet, has_subsets=True):
    """Return averages a request over a fleet's routes by name."""
    averages = Counter()
    routes = DEPLOYMENTS[fleet]
    total_per_s = sum(route[-1] for route in routes)
    for route in routes:
        runs = [instance(route, fleet, 0, None, s, has_subsets) for s in SEEDS]
        late_share = sum(run.run(REQUESTS, route[-1]) for run in runs)
        durations_s = sorted(d for run in runs for d in run.durations)
        request_count = len(SEEDS) * REQUESTS
        values = {
            "connections": sum(len(run.causes) for run in runs) / request_count,
            "probes": sum(run.probe_count for run in runs) / request_count,
            "late": late_share / len(SEEDS),
            "p95_s": durations_s[int(0.95 * len(durations_s))],
            "p99_s": durations_s[int(0.99 * len(durations_s))],
        }
        for name, value in values.items():
            averages[name] += value * route[-1] / total_per_s
    return averages


class ServerSubsetsTest(unittest.TestCase):
    def test_connections_are_reused_and_few_servers_probed(self):
        for fleet in DEPLOYMENTS:
            averages = per_request(fleet)
            with self.subTest(fleet=fleet):
                self.assertLess(averages["connections"], NEW_CONNECTIONS_LIMIT)
                self.assertLess(averages["probes"], PROBES_LIMIT)

    def test_tail_latency_is_no_worse_than_without_subsets(self):
        for fleet in DEPLOYMENTS:
            for name in ("late", "p95_s", "p99_s"):
                limit = per_request(fleet, has_subsets=False)[name]
                with self.subTest(fleet=fleet, name=name):
                    self.assertLessEqual(per_request(fleet)[name], limit)

    def test_all_instances_together_load_the_servers_evenly(self):
        chosen = Counter()
        for own_number in range(0, 230, 4):
            sparse = instance(ROSTER, own_number=own_number, seed=own_number)
            sparse.run(300, ROSTER[-1])
            chosen.update(sparse.chosen)
        local = [chosen[f"s{n}"] for n in range(0, 107, 4)]
        self.assertLess(max(local) * len(local) / sum(local), BUSIEST_LIMIT)
        # Most requests stay in the data centre.
        self.assertGreater(sum(local), 0.9 * chosen.total())

    def test_a_small_fleet_is_served_as_without_subsets(self):
        route = (12, 4, 0.2, 0.8, READ, 5.0)
        chosen = []
        for has_subsets in (False, True):
            sparse = instance(route, (20, 2), has_subsets=has_subsets)
            sparse.run(300, route[-1])
            chosen.append((sparse.chosen, sparse.probe_count, sparse.causes))
        self.assertEqual(*chosen)

    def test_requests_go_elsewhere_at_once_when_the_subset_is_full_or_silent(self):
        for trouble in ("full", "silent"):
            sparse = instance(ROSTER)
            sparse.run(100, ROSTER[-1])
            bad = {name for name, _ in Counter(sparse.chosen).most_common(SUBSET_SIZE)}
            getattr(sparse, trouble).update(bad)
            done = len(sparse.chosen)
            sparse.run(100, ROSTER[-1])
            with self.subTest(trouble=trouble):
                self.assertEqual(len(sparse.chosen), done + 100)
                self.assertFalse(bad & set(sparse.chosen[done:]))

    def test_the_next_server_takes_the_place_of_one_that_ends(self):
        sparse = instance(ROSTER)
        subsets = sparse.subsets
        with sparse.clock:
            candidates = list(sparse.table.candidates(READS))
            before = subsets.subset(READS, candidates, monotonic_s())
            ended = min(before)
            sparse.table.remove(ended)
            candidates = list(sparse.table.candidates(READS))
            after = subsets.subset(READS, candidates, monotonic_s())
            self.assertEqual(len(after), SUBSET_SIZE)
            self.assertEqual(before - after, {ended})
            # A server that refused a request is replaced too, and returns.
            refusing = min(after)
            sparse.table.record(refusing).record_refusal(monotonic_s(), 1.0)
            during = subsets.subset(READS, candidates, monotonic_s())
            self.assertNotIn(refusing, during)
            sparse.clock.advance_s(1.5)
            self.assertEqual(len(subsets.subset(READS, candidates, monotonic_s())), 4)

    def test_the_use_of_subsets_is_logged_once_for_each_change(self):
        log = FakeLog()
        sparse = instance(ROSTER, log=log)
        sparse.run(100, ROSTER[-1])
        self.assertEqual(log.events, ["subset used"])
        sparse.run(500, 50.0)
        self.assertEqual(log.events, ["subset used", "subset not used"])


class BusyConnectionTest(unittest.TestCase):
    def test_no_connection_is_opened_beside_a_busy_one_while_another_is_idle(self):
        for seed in range(10):
            sparse = instance(ROSTER, seed=seed)
            sparse.has_spells = False
            sparse.used_share = 0.0
            with sparse.clock, sparse.fake_connections():
                candidates = list(sparse.table.candidates(READS))
                subset = sparse.subsets.subset(READS, candidates, monotonic_s())
                busy, idle = (f"{name}:80" for name in sorted(subset)[:2])
                sparse.pool.acquire(busy)
                sparse.pool.release(sparse.pool.acquire(idle), True)
                sparse.receive_now()
            self.assertEqual(len(sparse.causes), 2)
