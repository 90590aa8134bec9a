"""Tests of berylhaven.entry."""
