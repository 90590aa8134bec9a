"""Tests of berylhaven.clock."""
