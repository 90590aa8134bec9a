"""Tests of which instance tries a held request again."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylhaven.quarantine import Hold, Trials
from berylhaven.quarantine._trials import CHOICE_PERIOD_S, TRIAL_INTERVAL_S

ADDRESSES = [f"10.0.0.{n}:8061" for n in range(20)]


def hold(remaining_s):
    return Hold(3, 10.0, remaining_s)


class TrialsTest(unittest.TestCase):
    @given(st.text(alphabet="0123456789abcdef", min_size=32, max_size=32))
    def test_one_instance_of_all_tries_a_request(self, fingerprint):
        started = [
            Trials().try_start(fingerprint, hold(-1.0), address, ADDRESSES, 0.0)
            for address in ADDRESSES
        ]
        self.assertEqual(started.count(True), 1)

    def test_none_tries_before_its_time(self):
        for address in ADDRESSES:
            self.assertFalse(
                Trials().try_start("f", hold(0.1), address, ADDRESSES, 0.0)
            )

    def test_an_instance_tries_again_after_a_while_only(self):
        trials = Trials()
        address = next(
            a
            for a in ADDRESSES
            if Trials().try_start("f", hold(-1.0), a, ADDRESSES, 0.0)
        )
        arguments = ("f", hold(-1.0), address, ADDRESSES)
        self.assertTrue(trials.try_start(*arguments, 0.0))
        self.assertFalse(trials.try_start(*arguments, TRIAL_INTERVAL_S))
        self.assertTrue(trials.try_start(*arguments, TRIAL_INTERVAL_S + 1.0))

    def test_a_trial_that_reached_no_server_may_be_repeated_at_once(self):
        # A popular request stayed held for 30 s: its trial met a refused connection.
        trials = Trials()
        overdue = ("f", hold(-CHOICE_PERIOD_S - 1.0), ADDRESSES[0], ADDRESSES, 0.0)
        self.assertTrue(trials.try_start(*overdue))
        self.assertFalse(trials.try_start(*overdue))
        trials.withdraw("f")
        self.assertTrue(trials.try_start(*overdue))

    def test_any_instance_tries_what_the_chosen_one_did_not_get(self):
        overdue = hold(-CHOICE_PERIOD_S - 1.0)
        for address in ADDRESSES:
            self.assertTrue(Trials().try_start("f", overdue, address, ADDRESSES, 0.0))


if __name__ == "__main__":
    unittest.main()
