"""Tests of firms' shares, classes and shedding at the gate."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.admission import (
    LATENESS_TARGET_S,
    LEASE_DURATION_S,
    AdmissionGate,
    FirmShares,
    OverloadEstimator,
    connection_quota,
)
from berylhaven.catalogue import CallClass, parse_catalogue
from berylhaven.results import CallRefused, OverLimit, ShareExceeded
from berylhaven.settings import ProxySettings

CATALOGUE = b"""\
[fleet]
max_entry_instances = 2
[firm carpatic]
guaranteed_share_ratio = 0.4
[firm kivu]
guaranteed_share_ratio = 0.4
[service positions]
owner = carpatic
class = transaction
concurrency_limit = 400
rate_limit_per_s = 100000
deadline_ms = 1000
[service bookings]
owner = kivu
class = transaction
concurrency_limit = 400
rate_limit_per_s = 100000
deadline_ms = 1000
[service archive]
owner = kivu
class = bulk
concurrency_limit = 20
rate_limit_per_s = 100000
deadline_ms = 1000
"""
BOUND = 100
NOW_S = 10 * LEASE_DURATION_S


def proxy_settings():
    return ProxySettings(
        concurrency_limit=BOUND,
        header_limit_bytes=32_768,
        chunk_bytes=65_536,
        sender_timeout_s=15.0,
        locate_time_to_live_s=5.0,
        call_id_lifetime_s=60.0,
        drain_limit_s=900.0,
    )


class GateTest(unittest.TestCase):
    """A firm's calls within its share are admitted whatever the load of others."""

    def setUp(self):
        self.gate = AdmissionGate(proxy_settings(), Random(1), started_at_s=0.0)
        self.catalogue = parse_catalogue(CATALOGUE)

    def admit(self, name, now_s=NOW_S):
        service = self.catalogue.services[name]
        return self.gate.admit(self.catalogue, service, now_s, now_s + 1.0)

    def fill(self, name, now_s=NOW_S):
        tickets = []
        while True:
            try:
                tickets.append(self.admit(name, now_s))
            except CallRefused:
                return tickets

    def test_a_firm_keeps_its_share_while_another_overloads_the_instance(self):
        self.assertEqual(len(self.fill("positions")), BOUND)
        tickets = [self.admit("bookings") for _ in range(40)]
        self.assertEqual(len(tickets), 40)
        with self.assertRaises(ShareExceeded):
            self.admit("bookings")

    def test_capacity_beyond_the_share_is_freed_as_calls_end(self):
        borrowed = self.fill("positions")
        for _ in range(40):
            self.admit("bookings")
        for ticket in borrowed[:60]:
            ticket.release()
        with self.assertRaises(ShareExceeded):
            for _ in range(BOUND):
                self.admit("positions")
        self.assertLessEqual(self.gate.in_flight_count, BOUND)

    def test_a_services_limit_is_divided_by_the_largest_fleet(self):
        self.assertEqual(len(self.fill("archive")), 10)
        with self.assertRaises(OverLimit):
            self.admit("archive")

    def test_a_ticket_is_released_once(self):
        ticket = self.admit("bookings")
        ticket.release()
        ticket.release()
        self.assertEqual(self.gate.in_flight_count, 0)

    def test_calls_of_a_removed_service_do_not_count_when_it_returns(self):
        ticket = self.admit("archive")
        shorter = parse_catalogue(CATALOGUE.split(b"[service archive]")[0])
        self.gate.admit(shorter, shorter.services["bookings"], NOW_S, NOW_S + 1)
        ticket.release()
        self.assertEqual(len(self.fill("archive")), 10)

    def test_connections_are_divided_too(self):
        service = self.catalogue.services["positions"]
        self.assertEqual(connection_quota(service, self.catalogue.fleet), 150)


class FirmSharesTest(unittest.TestCase):
    """The guaranteed share holds after any sequence of calls."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["carpatic", "kivu"]),
                st.sampled_from(list(CallClass)),
                st.booleans(),
            ),
            max_size=300,
        )
    )
    def test_a_firm_within_its_guarantee_is_always_taken(self, steps):
        shares = FirmShares(20)
        in_flight = {"carpatic": 0, "kivu": 0}
        for firm, call_class, ends in steps:
            if ends and in_flight[firm]:
                shares.release(firm)
                in_flight[firm] -= 1
                continue
            is_taken = shares.may_admit(firm, 0.4, call_class)
            if call_class is CallClass.TRANSACTION and in_flight[firm] < 8:
                self.assertTrue(is_taken)
            if is_taken:
                shares.acquire(firm)
                in_flight[firm] += 1
            self.assertLessEqual(shares.in_flight_count, 20 + 8)


class OverloadTest(unittest.TestCase):
    """While the event loop is late, the busiest firm's lower classes are shed first."""

    def overloaded(self, turns):
        overload = OverloadEstimator()
        for _ in range(100):
            overload.record_call("carpatic")
        for _ in range(5):
            overload.record_call("kivu")
        for _ in range(turns):
            overload.observe_lateness(2 * LATENESS_TARGET_S)
        return overload

    def test_classes_are_shed_in_their_order(self):
        overload = self.overloaded(turns=3)
        shed = [
            overload.shed_probability("carpatic", 0.4, call_class)
            for call_class in (
                CallClass.BULK,
                CallClass.INTERACTIVE,
                CallClass.TRANSACTION,
            )
        ]
        self.assertEqual(shed[0], 1.0)
        self.assertGreater(shed[1], shed[2])
        self.assertEqual(shed[2], 0.0)

    def test_a_firm_within_its_share_is_not_shed(self):
        overload = self.overloaded(turns=50)
        self.assertEqual(overload.pressure, 1.0)
        self.assertEqual(overload.shed_probability("kivu", 0.4, CallClass.BULK), 0.0)

    def test_the_pressure_falls_when_the_loop_is_on_time(self):
        overload = self.overloaded(turns=50)
        for _ in range(100):
            overload.observe_lateness(0.0)
        self.assertEqual(overload.pressure, 0.0)
