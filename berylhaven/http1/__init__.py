"""HTTP/1.1 towards callers and backend servers: heads, framing, bodies, connections."""

from berylhaven.http1._answer_match import (
    SKIPPED_ANSWERS_LIMIT,
    AnswerMatch,
    match_answer,
)
from berylhaven.http1._body_framing import NO_BODY, BodyFraming, parse_framing
from berylhaven.http1._bounded_client import (
    REQUEST_ERRORS,
    AnswerRefused,
    AnswerTooLarge,
    BoundedAnswer,
    BoundedClient,
)
from berylhaven.http1._chunked_reader import ChunkedBodyError, ChunkedReader
from berylhaven.http1._connection_pool import ConnectionCounts, ConnectionPool
from berylhaven.http1._exchange_errors import (
    CALLER_ERROR_ENDS,
    CONNECTION_ERRORS,
    MALFORMED_ANSWER_ERRORS,
)
from berylhaven.http1._head_fields import END_OF_HEAD, HeadFields, read_fields
from berylhaven.http1._hop_headers import REQUEST_FRAMING, end_to_end_headers
from berylhaven.http1._open_cause import OpenCause
from berylhaven.http1._output_watch import OUTPUT_POLL_INTERVAL_S, OutputWatch
from berylhaven.http1._request_body import CONTINUE_LINE, BodyTaken, RequestBody
from berylhaven.http1._retry_after import RETRY_AFTER, parse_retry_after_s
from berylhaven.http1._upstream_answer import (
    AnswerBodyError,
    AnswerBodyReader,
    AnswerFramingError,
    NoAnswerLength,
    UpstreamAnswer,
    read_answer,
)
from berylhaven.http1._upstream_connection import AnswerHead, UpstreamConnection
from berylhaven.http1._wsgi_answer import answer_bytes, answer_status
from berylhaven.http1._wsgi_server import serve

__all__ = [
    "RETRY_AFTER",
    "parse_retry_after_s",
    "CALLER_ERROR_ENDS",
    "CONNECTION_ERRORS",
    "MALFORMED_ANSWER_ERRORS",
    "CONTINUE_LINE",
    "END_OF_HEAD",
    "NO_BODY",
    "OUTPUT_POLL_INTERVAL_S",
    "REQUEST_ERRORS",
    "REQUEST_FRAMING",
    "SKIPPED_ANSWERS_LIMIT",
    "AnswerBodyError",
    "AnswerFramingError",
    "AnswerHead",
    "AnswerMatch",
    "AnswerBodyReader",
    "AnswerRefused",
    "AnswerTooLarge",
    "BodyFraming",
    "BodyTaken",
    "BoundedAnswer",
    "BoundedClient",
    "ChunkedBodyError",
    "ChunkedReader",
    "ConnectionCounts",
    "ConnectionPool",
    "HeadFields",
    "NoAnswerLength",
    "OpenCause",
    "OutputWatch",
    "RequestBody",
    "UpstreamAnswer",
    "UpstreamConnection",
    "answer_bytes",
    "answer_status",
    "end_to_end_headers",
    "match_answer",
    "read_answer",
    "read_fields",
    "parse_framing",
    "serve",
]
