"""Tests of berylhaven.catalogue."""
