"""Tests of the locate answer."""

import collections
import unittest
from random import Random

from berylhaven.membership import Announcement
from berylhaven.proxy._locate import ENTRIES_LIMIT, locate_document

CALLERS = 4_000


def announcement(number, data_centre="a", firm="kivu", load_ratio=0.0, **changes):
    values = {"is_ready": True, "is_leaving": False, **changes}
    return Announcement(
        peers_address=f"p{number}:1",
        callers_address=f"c{number}:1",
        data_centre=data_centre,
        firm=firm,
        incarnation=1,
        nonce=f"{number:08x}",
        sequence=1,
        load_ratio=load_ratio,
        uptime_s=7,
        catalogue_revision=1,
        catalogue_digest="",
        **values,
    )


class LocateTest(unittest.TestCase):
    """Local instances first, the least loaded preferred, callers spread."""

    def setUp(self):
        self.random = Random(5)

    def addresses(self, announcements, data_centre="a"):
        document = locate_document(
            "bookings", "kivu", 1, 5.0, announcements, data_centre, self.random
        )
        return [entry["address"] for entry in document["entry_instances"]]

    def first_counts(self, announcements):
        firsts = (self.addresses(announcements)[0] for _ in range(CALLERS))
        return collections.Counter(firsts)

    def test_callers_with_the_same_announcements_are_spread_by_load(self):
        loads = (0.0, 0.0, 0.5, 0.5)
        fleet = [announcement(n, load_ratio=load) for n, load in enumerate(loads)]
        counts = self.first_counts(fleet)
        for idle in ("c0:1", "c1:1"):
            self.assertAlmostEqual(counts[idle] / CALLERS, 2 / 6, delta=0.05)
        for half_full in ("c2:1", "c3:1"):
            self.assertAlmostEqual(counts[half_full] / CALLERS, 1 / 6, delta=0.05)

    def test_local_before_remote_and_the_owner_before_the_other_firm(self):
        fleet = [
            announcement(0, "b"),
            announcement(1, "a", firm="carpatic"),
            announcement(2, "a"),
            announcement(3, "a", load_ratio=0.95),
        ]
        for _ in range(50):
            self.assertEqual(self.addresses(fleet), ["c2:1", "c0:1", "c3:1", "c1:1"])

    def test_those_that_leave_or_are_not_ready_are_left_out(self):
        fleet = [
            announcement(0),
            announcement(1, is_leaving=True),
            announcement(2, is_ready=False),
        ]
        self.assertEqual(self.addresses(fleet), ["c0:1"])

    def test_the_answer_is_bounded_and_reaches_beyond_the_data_centre(self):
        fleet = [announcement(n, "a" if n < 15 else "b") for n in range(20)]
        for _ in range(50):
            found = self.addresses(fleet)
            self.assertEqual(len(set(found)), ENTRIES_LIMIT)
            remote = [a for a in found if int(a[1:-2]) >= 15]
            self.assertEqual(len(remote), 2)
