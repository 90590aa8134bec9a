"""The command ``trace``."""

import contextlib
import sys
from collections.abc import Iterable

from berylhaven.cli._output import print_json
from berylhaven.cli._registry import register_command
from berylhaven.event_log import TracedLine, trace
from berylhaven.results import BadUsage, NoSuchRequest

STANDARD_INPUT = "-"
MILLISECONDS_PER_SECOND = 1_000


@register_command("trace")
def trace_request(
    request: str, *, logs: str = STANDARD_INPUT, json: bool = False
) -> None:
    """Print one request's lines across the logs of all instances, in order.

    Parameters
    ----------
    request : str
        The id of the request.
    logs : str
        Paths of log files, separated by commas; `-` is standard input.
    json : bool
        Print JSON.
    """
    found = trace(_lines(logs), request)
    if not found:
        raise NoSuchRequest(f"no line of {logs} names the request {request}")
    if json:
        print_json([_document(line) for line in found])
        return
    for line in found:
        after_ms = (line.at_s - found[0].at_s) * MILLISECONDS_PER_SECOND
        print(f"{after_ms:+9.1f} ms  {line.origin}  {line.text}")


def _lines(logs: str) -> Iterable[str]:
    if logs == STANDARD_INPUT:
        yield from sys.stdin
        return
    for path in logs.split(","):
        with contextlib.ExitStack() as stack:
            try:
                file = stack.enter_context(open(path, errors="replace"))
            except OSError as error:
                raise BadUsage(f"{path}: {error.strerror}") from None
            yield from file


def _document(line: TracedLine) -> dict:
    return {"at_s": line.at_s, "origin": line.origin, "text": line.text}
