"""Tests of berylhaven.operations."""
