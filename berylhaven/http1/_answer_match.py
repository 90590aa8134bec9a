"""Tells whether an answer on a connection to a backend server is that to a request."""

import enum

# The maximum number of answers to other requests that are skipped before an answer.
SKIPPED_ANSWERS_LIMIT = 4


class AnswerMatch(enum.Enum):
    """Which request of a connection an answer belongs to."""

    # It names the request, or is the first answer on the connection.
    OWN = "own"
    # It names another request, such as an earlier one that is answered twice.
    OTHER_REQUEST = "other-request"
    # It names no request, so it may repeat an answer to an earlier one.
    UNPROVEN = "unproven"


def match_answer(
    named_id: str | None, request_id: str | None, is_first_answer: bool
) -> AnswerMatch:
    """Match an answer with the only request that is in flight on its connection.

    A faulty backend server may send an answer twice, the second time where the answer
    to the next request is due.

    Parameters
    ----------
    named_id : str or None
        The id of the request that the answer names; None if it names none.
    request_id : str or None
        The id of the request in flight; None if it has none.
    is_first_answer : bool
        Whether no answer was read from the connection before.

    Returns
    -------
    AnswerMatch
        `OWN` only if the answer can't be one to an earlier request.
    """
    if named_id is not None:
        is_own = named_id == request_id
        return AnswerMatch.OWN if is_own else AnswerMatch.OTHER_REQUEST
    return AnswerMatch.OWN if is_first_answer else AnswerMatch.UNPROVEN
