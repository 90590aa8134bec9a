"""Finding the lines of one request among the logs of many instances."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

# A line begins with its part; whatever a collector put before that is kept aside.
LINE = re.compile(r"(?P<before>.*?)\b(?P<part>[a-z]+): at=(?P<at_s>[0-9.]+) event=")


@dataclass(slots=True, frozen=True)
class TracedLine:
    """One line about a request."""

    # The Unix time of the instance that wrote it, in seconds.
    at_s: float
    # What the collector put before the line, such as the instance's name.
    origin: str
    # The line itself.
    text: str


def trace(lines: Iterable[str], request_id: str) -> list[TracedLine]:
    """Return the lines of one request in the order of their times.

    Parameters
    ----------
    lines : iterable of str
        Logs of one or more instances, in any order.
    request_id : str
        The id of the request.

    Returns
    -------
    list of TracedLine
        Empty if no line names the request.
    """
    named = re.compile(rf"\brequest={re.escape(request_id)}(?:\s|$)")
    found = []
    for line in lines:
        match = LINE.match(line)
        if match is not None and named.search(line):
            text = line[match.start("part") :].rstrip("\n")
            at_s = float(match["at_s"])
            found.append(TracedLine(at_s, match["before"].strip(), text))
    return sorted(found, key=lambda traced: traced.at_s)
