"""Tests of berylhaven.platform."""
