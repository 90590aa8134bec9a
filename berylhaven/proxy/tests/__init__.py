"""Tests of berylhaven.proxy."""
