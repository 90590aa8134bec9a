"""Tests of the views that commands make from status documents."""

import unittest

from berylhaven.cli._catalogue_view import parse_catalogue_view
from berylhaven.cli._output import table
from berylhaven.cli._status_text import status_text


def announcement(address, revision, digest, **others):
    return {
        "peers_address": address,
        "data_centre": "a",
        "firm": "kivu",
        "is_ready": True,
        "is_leaving": False,
        "uptime_s": 7,
        "load_ratio": 0.25,
        "catalogue_revision": revision,
        "catalogue_digest": digest,
        **others,
    }


def status(*peers, **others):
    rows = [
        announcement(address, revision, digest, state=state, heard_s_ago=0.5)
        for address, revision, digest, state in peers
    ]
    return {
        "instance": announcement("1.0.0.1:1", 4, "aa"),
        "catalogue": {"revision": 4, "digest": "aa", "in_force_for_s": 3.0},
        "catalogue_refused": None,
        "peers": rows,
        **others,
    }


class CatalogueViewTest(unittest.TestCase):
    """Revision differences, and a revision with two digests."""

    def test_the_revision_difference_leaves_out_gone_peers(self):
        view = parse_catalogue_view(
            status(("1.0.0.2:1", 2, "bb", "live"), ("1.0.0.3:1", 1, "cc", "gone"))
        )
        self.assertEqual(view.revision_difference, 2)
        self.assertEqual(view.conflicting_revisions(), [])
        self.assertIn("revision 4 active at 1 of 2 instances", view.summary())

    def test_one_revision_with_two_digests_is_found(self):
        view = parse_catalogue_view(status(("1.0.0.2:1", 4, "bb", "live")))
        self.assertEqual(view.conflicting_revisions(), [4])


class StatusTextTest(unittest.TestCase):
    """Every part of the document is shown."""

    def test_known_and_new_parts_are_shown(self):
        refused = {"revision": 5, "problem_count": 1, "problems": ["line 1: bad"]}
        server = {"address": "1.0.0.9:1", "news_age_s": None, "running": 3}
        text = status_text(
            status(
                ("1.0.0.2:1", 4, "aa", "live"),
                catalogue_refused=refused,
                backend_servers={"positions": [server], "empty": []},
                leases=[{"service": "positions", "pieces": 2}],
                limits={"positions": {"own": 3}},
                counts={"in_flight": 2},
                nothing=None,
            )
        )
        for expected_text in (
            "REJECTED revision 5, 1 problems",
            "line 1: bad",
            "1.0.0.2:1      a            kivu  live",
            "positions  1.0.0.9:1           -        3",
            "leases:\nservice    pieces",
            "limits:\nname       own",
            "in_flight: 2",
            "nothing: -",
        ):
            self.assertIn(expected_text, text)

    def test_numbers_are_aligned_right(self):
        self.assertEqual(
            table(("a", "count"), [("x", 5), ("yy", None)]),
            "a   count\nx       5\nyy      -",
        )
