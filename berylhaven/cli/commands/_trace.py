"""The command ``trace``."""

from berylhaven.cli._log_files import STANDARD_INPUT, log_lines
from berylhaven.cli._output import print_json
from berylhaven.cli._registry import register_command
from berylhaven.event_log import TracedLine, trace
from berylhaven.results import NoSuchRequest

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
    found = trace(log_lines(logs), request)
    if not found:
        raise NoSuchRequest(f"no line of {logs} names the request {request}")
    if json:
        print_json([_document(line) for line in found])
        return
    for line in found:
        after_ms = (line.at_s - found[0].at_s) * MILLISECONDS_PER_SECOND
        print(f"{after_ms:+9.1f} ms  {line.origin}  {line.text}")


def _document(line: TracedLine) -> dict:
    return {"at_s": line.at_s, "origin": line.origin, "text": line.text}
