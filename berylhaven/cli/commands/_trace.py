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
    """Print the log lines of one request from all instances, ordered by time.

    Parameters
    ----------
    request : str
        The id of the request.
    logs : str
        Paths of log files, separated by commas; `-` is standard input.
    json : bool
        Print JSON.
    """
    lines = trace(log_lines(logs), request)
    if not lines:
        raise NoSuchRequest(f"no line of {logs} contains request {request}")
    if json:
        print_json([_to_json(line) for line in lines])
        return
    for line in lines:
        after_ms = (line.at_s - lines[0].at_s) * MILLISECONDS_PER_SECOND
        print(f"{after_ms:+9.1f} ms  {line.origin}  {line.text}")


def _to_json(line: TracedLine) -> dict:
    return {"at_s": line.at_s, "origin": line.origin, "text": line.text}
