"""Tests of berylhaven.cli."""
