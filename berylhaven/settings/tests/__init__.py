"""Tests of berylhaven.settings."""
