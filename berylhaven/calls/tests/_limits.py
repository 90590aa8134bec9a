"""Settings of the tests in this package."""

from berylhaven.settings import CallsSettings


def calls_settings(**changes):
    values = {
        "call_id_lifetime_s": 60.0,
        "remembered_calls_limit": 1_000,
        "kept_answer_limit_bytes": 100,
        "kept_answers_limit_bytes": 10_000,
        "held_body_limit_bytes": 1_000,
    }
    return CallsSettings(**{**values, **changes})
