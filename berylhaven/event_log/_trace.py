"""Search for the lines of one request in the logs of many instances."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

# A line begins with its component; text before that was added by a log collector and
# is returned apart.
LINE = re.compile(r"(?P<before>.*?)\b(?P<part>[a-z]+): at=(?P<at_s>[0-9.]+) event=")


@dataclass(slots=True, frozen=True)
class TracedLine:
    """One line about a request."""

    # The Unix time at the instance that wrote the line, in seconds.
    at_s: float
    # The text that the log collector put before the line, such as the instance's name.
    origin: str
    # The line without the origin.
    text: str


def trace(lines: Iterable[str], request_id: str) -> list[TracedLine]:
    """Return the lines of one request, sorted by time.

    Parameters
    ----------
    lines : iterable of str
        Logs of one or more instances, in any order.
    request_id : str
        The id of the request.

    Returns
    -------
    list of TracedLine
        Empty if no line contains the request id.
    """
    request_field = re.compile(rf"\brequest={re.escape(request_id)}(?:\s|$)")
    traced_lines = []
    for line in lines:
        match = LINE.match(line)
        if match is not None and request_field.search(line):
            text = line[match.start("part") :].rstrip("\n")
            at_s = float(match["at_s"])
            traced_lines.append(TracedLine(at_s, match["before"].strip(), text))
    return sorted(traced_lines, key=lambda traced: traced.at_s)
