"""What sending a request and reading its answer may raise, and what that means."""

import http.client

import urllib3

from berylhaven.attempts import AttemptEnd
from berylhaven.results import (
    BadFraming,
    BadRequestHead,
    BodyCut,
    BodyTooLarge,
    HeadTooLarge,
    SenderTooSlow,
)

CONNECTION_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)
# What the strict reading of an answer's head and framing raises.
MALFORMED_ANSWER_ERRORS = (BadFraming, BadRequestHead, HeadTooLarge)
# What reading the caller's body raises while it is sent on.
CALLER_ERROR_ENDS = {
    BodyCut: AttemptEnd.CALLER_BODY_CUT,
    BadFraming: AttemptEnd.CALLER_BODY_CUT,
    BodyTooLarge: AttemptEnd.CALLER_BODY_TOO_LARGE,
    SenderTooSlow: AttemptEnd.CALLER_TOO_SLOW,
}
