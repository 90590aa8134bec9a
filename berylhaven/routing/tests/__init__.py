"""Tests of berylhaven.routing."""
