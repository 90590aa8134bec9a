"""Tests of berylhaven.ini."""
