"""Settings for the tests of this package."""

from berylhaven.settings import CallsSettings

LIFETIME_S = 60.0


def calls_settings(**changes):
    values = {
        "remembered_calls_limit": 1_000,
        "kept_answer_limit_bytes": 100,
        "kept_answers_limit_bytes": 10_000,
    }
    return CallsSettings(**{**values, **changes})
