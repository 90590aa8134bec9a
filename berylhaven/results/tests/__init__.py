"""Tests of berylhaven.results."""
