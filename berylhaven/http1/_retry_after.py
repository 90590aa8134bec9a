"""The Retry-After header of answers."""

import re

RETRY_AFTER = "Retry-After"
# Longer times are cut: the sender may have been wrong, and its run may end before.
RETRY_AFTER_LIMIT_S = 300.0
# Seconds, with fractions; dates are not supported, since clocks of machines differ.
SECONDS = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?")


def parse_retry_after_s(text: str) -> float | None:
    """Return the time in seconds that a Retry-After value states, or None.

    Parameters
    ----------
    text : str
        The value of the header.

    Returns
    -------
    float or None
        At most RETRY_AFTER_LIMIT_S; None if the value is not a number of seconds.
    """
    if SECONDS.fullmatch(text.strip()) is None:
        return None
    return min(float(text), RETRY_AFTER_LIMIT_S)
