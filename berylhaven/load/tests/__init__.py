"""Tests of berylhaven.load."""
