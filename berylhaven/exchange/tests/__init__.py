"""Tests of berylhaven.exchange."""
