"""Tests of berylhaven.admission."""
