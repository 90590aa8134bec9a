"""Tests of bench.soak."""
