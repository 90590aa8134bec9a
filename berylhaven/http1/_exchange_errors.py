"""Errors raised while a request is sent or its answer read, and their meaning."""

import http.client

import urllib3

from berylhaven.attempts import AttemptEnd
from berylhaven.results import (
    BadFraming,
    BadRequestHead,
    BodyTooLarge,
    BodyTruncated,
    HeadTooLarge,
    SenderTooSlow,
)

# Raised when a connection to a backend server breaks.
CONNECTION_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)
# Raised by the strict parsers of an answer's head and framing.
MALFORMED_ANSWER_ERRORS = (BadFraming, BadRequestHead, HeadTooLarge)
# The end of an attempt by the error raised while the caller's body is read.
CALLER_ERROR_ENDS = {
    BodyTruncated: AttemptEnd.CALLER_BODY_CUT,
    BadFraming: AttemptEnd.CALLER_BODY_CUT,
    BodyTooLarge: AttemptEnd.CALLER_BODY_TOO_LARGE,
    SenderTooSlow: AttemptEnd.CALLER_TOO_SLOW,
}
