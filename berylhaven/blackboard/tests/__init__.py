"""Tests of berylhaven.blackboard."""
