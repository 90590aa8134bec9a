"""Tests of the comparison of a gateway that is cut from servers with another one."""

import pathlib
import random
import unittest
import unittest.mock

from bench.gateway_soak import _faults
from bench.gateway_soak._faults import COMPARED_READ_COUNT, SoakContext
from standins.gateway_fleet import GatewayProcess

REFUSED = 503


class CutComparisonTest(unittest.TestCase):
    def compare(self, read_status):
        """Return what is reported if reads end with the given statuses."""
        context = SoakContext(None, random.Random(1))
        cut, other = (GatewayProcess([port], pathlib.Path()) for port in (1, 2))
        numbers = iter(range(2 * COMPARED_READ_COUNT))

        def read(gateway, path):
            return read_status(next(numbers), gateway is cut)

        with unittest.mock.patch.object(_faults, "_read_status", read):
            _faults._compare_service(context, cut, other)
        return context.broken

    def test_ended_servers_are_not_held_against_the_cut_gateway_only(self):
        # Guards against a broken run because all servers were away for a moment.
        def without_servers_at_first(number, is_cut):
            return REFUSED if number < COMPARED_READ_COUNT else 200

        self.assertEqual(self.compare(without_servers_at_first), [])

    def test_a_cut_gateway_that_serves_too_few_is_reported(self):
        # Guards against a comparison that finds nothing.
        def refused_by_the_cut_one(number, is_cut):
            return REFUSED if is_cut and number % 8 else 200

        self.assertEqual(len(self.compare(refused_by_the_cut_one)), 1)


if __name__ == "__main__":
    unittest.main()
