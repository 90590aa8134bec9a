"""Errors of the platform's services."""


class PlatformUnavailable(Exception):
    """A service of the platform did not answer, or its answer was invalid."""
