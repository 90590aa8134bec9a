"""Tests of berylhaven.calls."""
