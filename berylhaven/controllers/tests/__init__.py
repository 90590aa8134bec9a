"""Tests of berylhaven.controllers."""
