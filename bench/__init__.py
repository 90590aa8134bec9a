"""Measurements: load tools, experiments and their reports."""
