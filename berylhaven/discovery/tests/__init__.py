"""Tests of berylhaven.discovery."""
