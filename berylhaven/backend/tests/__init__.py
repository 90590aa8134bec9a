"""Tests of berylhaven.backend."""
