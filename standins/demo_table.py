"""The output of the demonstration: examples at the start, then the table."""

import re
from collections.abc import Iterable

import urllib3

from berylhaven.cli import table
from standins.demo_callers import CallRecord
from standins.fleet import HOST, EntryProcess, FleetShape, ProcessFleet

MILLISECONDS_PER_SECOND = 1000.0
HEADINGS = (
    "service",
    "calls",
    "answered",
    "not_answered",
    "p50_ms",
    "p99_ms",
    "p99.9_ms",
    "measuring",
    "running/slots",
)
PROBE_PATTERN = re.compile(
    r'berylhaven_probe_milliseconds_total\{service="(?P<service>[^"]+)"\} (?P<ms>\S+)'
)


def examples(fleet: ProcessFleet, program: str) -> str:
    """Return example commands, one for each interface."""
    entry = fleet.entries[0]
    service = fleet.shape.services[0].name
    call = entry.url(f"/v1/services/{service}/book/7")
    configuration = f"http://{HOST}:{fleet.configuration_port}"
    return "\n".join(
        [
            "Try these in another terminal:",
            f"  curl '{entry.url('/v1/entries')}?service={service}'",
            f"  curl -i -H 'Berylhaven-Timeout-Ms: 500' {call}",
            f"  curl -s {entry.url('/v1/status', 2)}",
            f"  curl -s {entry.url('/v1/health', 2)}",
            f"  curl -s {entry.url('/metrics', 2)}",
            f"  curl -s {configuration}/v1/values/berylhaven%2Fcatalogue",
            f"  {program} status --entry {HOST}:{entry.ports[2]}",
            f"  {program} catalogue status --entry {HOST}:{entry.ports[2]}",
            "The columns p50 to p99.9 show what was added to the backend servers' "
            f"{fleet.shape.service_time_s * MILLISECONDS_PER_SECOND:g} ms.",
        ]
    )


def table_text(
    fleet: ProcessFleet, records: Iterable[CallRecord], elapsed_s: float
) -> str:
    """Return the table of all calls so far."""
    by_service: dict[str, list[CallRecord]] = {}
    for record in list(records):
        by_service.setdefault(record.service, []).append(record)
    spent_ms = _probe_ms(fleet)
    running = _running(fleet)
    rows = []
    for service in fleet.shape.services:
        ended = by_service.get(service.name, [])
        answered = [record for record in ended if record.is_answered]
        slot_count = service.server_count * service.slot_count
        slot_ms = slot_count * elapsed_s * MILLISECONDS_PER_SECOND
        rows.append(
            (
                service.name,
                len(ended),
                len(answered),
                len(ended) - len(answered),
                *_added_ms(answered, fleet.shape),
                f"{spent_ms.get(service.name, 0.0) / slot_ms:.3%}",
                f"{running.get(service.name, 0)}/{slot_count}",
            )
        )
    return f"\nafter {elapsed_s:.0f} s\n{table(HEADINGS, rows)}"


def quantile(ordered: list[float], ratio: float) -> float:
    """Return the quantile of sorted values at a ratio between 0 and 1."""
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]


def _added_ms(answered: list[CallRecord], shape: FleetShape) -> list[float | None]:
    added = sorted(
        (record.duration_s - shape.service_time_s) * MILLISECONDS_PER_SECOND
        for record in answered
    )
    if not added:
        return [None, None, None]
    return [round(quantile(added, ratio), 2) for ratio in (0.5, 0.99, 0.999)]


def _probe_ms(fleet: ProcessFleet) -> dict[str, float]:
    """Return the slot time of probes by service, summed over the entry instances."""
    spent: dict[str, float] = {}
    for entry in fleet.entries:
        text = _fetch_text(fleet, entry, "/metrics")
        for match in PROBE_PATTERN.finditer(text):
            spent_ms = spent.get(match["service"], 0.0) + float(match["ms"])
            spent[match["service"]] = spent_ms
    return spent


def _running(fleet: ProcessFleet) -> dict[str, int]:
    """Return the number of running calls by service, from load reports."""
    try:
        servers = fleet.status(fleet.entries[0])["backend_servers"]
    except (urllib3.exceptions.HTTPError, ValueError):
        return {}
    return {
        name: sum(row["running"] or 0 for row in rows) for name, rows in servers.items()
    }


def _fetch_text(fleet: ProcessFleet, entry: EntryProcess, path: str) -> str:
    try:
        return fleet.http.request("GET", entry.url(path, 2), timeout=5.0).data.decode()
    except urllib3.exceptions.HTTPError:
        return ""
