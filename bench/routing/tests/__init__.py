"""Tests of bench.routing."""
