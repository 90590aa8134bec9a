"""Tests of the server directory, which merges sources about draining servers."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylhaven.discovery import BackendServer, ListValidity, ServerDirectory
from berylhaven.discovery._server_directory import SHRUNK_LIST_HOLD_S

ADDRESSES = st.sampled_from(["a:1", "b:1", "c:1"])
INCARNATIONS = st.integers(1, 4)


def server(address, incarnation=1, is_leaving=False, service="positions"):
    return BackendServer(address, service, "x", 4, incarnation, is_leaving)


class ServerDirectoryMachine(RuleBasedStateMachine):
    """Lagging lists, peers and answers report draining servers in any order."""

    def __init__(self):
        super().__init__()
        self.directory = ServerDirectory()
        self.now_s = 0.0
        self.draining_incarnations = {}
        self.newest = {}

    def _note(self, address, incarnation):
        known = self.draining_incarnations.get(address, 0)
        self.draining_incarnations[address] = max(known, incarnation)

    @rule(rows=st.dictionaries(ADDRESSES, st.tuples(INCARNATIONS, st.booleans())))
    def list_is_read(self, rows):
        shown = [server(a, inc, leaving) for a, (inc, leaving) in rows.items()]
        for address, (incarnation, is_leaving) in rows.items():
            if is_leaving:
                self._note(address, incarnation)
        before = {s.address: s for s in self.directory.servers("positions")}
        offered = self.directory.available_servers("positions")
        self.directory.apply_list(shown, self.now_s)
        for now in self.directory.servers("positions"):
            if now.address in before:
                earlier = before[now.address].incarnation
                assert now.incarnation >= earlier, "an earlier incarnation was restored"
        if not rows:
            assert self.directory.available_servers("positions") == offered, (
                "servers dropped"
            )

    @rule(address=ADDRESSES, incarnation=INCARNATIONS)
    def peer_or_answer_reports_draining(self, address, incarnation):
        self.directory.mark_leaving(address, incarnation, self.now_s)
        self._note(address, incarnation)

    # The total of all steps is below the time after which marks are dropped.
    @rule(duration_s=st.floats(0, 200))
    def time_passes(self, duration_s):
        self.now_s += duration_s

    @invariant()
    def no_leaving_server_is_offered(self):
        for offered in self.directory.available_servers("positions"):
            assert offered.incarnation > self.draining_incarnations.get(
                offered.address, 0
            )


ServerDirectoryMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
ServerDirectoryMachineTest = ServerDirectoryMachine.TestCase


class ServerDirectoryTest(unittest.TestCase):
    """The effect of complete, short and empty lists."""

    def setUp(self):
        self.directory = ServerDirectory()
        self.directory.apply_list([server(f"s{n}:1") for n in range(6)], 0.0)

    def test_an_empty_list_never_drops_the_servers(self):
        verdict = self.directory.apply_list([], SHRUNK_LIST_HOLD_S * 100)
        self.assertIs(verdict, ListValidity.SUSPICIOUS)
        self.assertEqual(len(self.directory.available_servers("positions")), 6)
        self.assertEqual(self.directory.missing_services(), ["positions"])

    def test_a_short_list_is_accepted_after_the_hold_time(self):
        short = [server("s0:1"), server("s1:1")]
        self.directory.apply_list(short, 10.0)
        self.assertEqual(len(self.directory.available_servers("positions")), 6)
        self.directory.apply_list(short, 10.0 + SHRUNK_LIST_HOLD_S)
        self.assertEqual(len(self.directory.available_servers("positions")), 2)
        self.assertEqual(self.directory.missing_services(), [])

    def test_one_server_that_vanished_is_dropped_at_once(self):
        self.directory.apply_list([server(f"s{n}:1") for n in range(5)], 1.0)
        self.assertEqual(len(self.directory.available_servers("positions")), 5)

    def test_a_new_incarnation_is_live_again(self):
        self.directory.mark_leaving("s0:1", 1, 1.0)
        self.assertEqual(len(self.directory.available_servers("positions")), 5)
        rows = [server(f"s{n}:1", 2 if n == 0 else 1) for n in range(6)]
        self.directory.apply_list(rows, 2.0)
        self.assertEqual(len(self.directory.available_servers("positions")), 6)

    def test_servers_that_leave_count_as_shown(self):
        rows = [server(f"s{n}:1", 1, n < 4) for n in range(6)]
        self.assertIs(self.directory.apply_list(rows, 1.0), ListValidity.ACCEPTED)
        self.assertEqual(len(self.directory.available_servers("positions")), 2)
