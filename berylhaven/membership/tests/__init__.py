"""Tests of berylhaven.membership."""
