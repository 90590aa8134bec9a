"""Tests of berylhaven.client."""
