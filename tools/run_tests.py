"""Run all tests and end with one line that counts them."""

import sys
import unittest
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

PACKAGES = ("berylhaven", "standins", "bench")


def main(pattern: str = "test_*.py") -> int:
    """Run the tests whose module names match a pattern."""
    loader = unittest.TestLoader()
    suite = unittest.TestSuite(
        loader.discover(package, pattern=pattern, top_level_dir=".")
        for package in PACKAGES
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors)
    print(f"{result.testsRun - failed} passed, {failed} failed")
    return 0 if result.wasSuccessful() and result.testsRun else 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
