"""Parser of the ``endpoint-load-metrics`` header in its TEXT and JSON forms."""

import math

import orjson

from berylhaven.load import LoadReport

TEXT_PREFIX = "TEXT "
JSON_PREFIX = "JSON "
NAMED_METRIC_PREFIX = "named_metrics."
MILLISECONDS_PER_SECOND = 1000.0
# Larger counts are wrong, and would outweigh the reports of all other servers.
MAX_COUNT = 1_000_000


def parse_load_header(value: str | None, now_s: float) -> LoadReport | None:
    """Parse a load report.

    Parameters
    ----------
    value : str or None
        The header's value.
    now_s : float
        The time of receipt on the hub's clock.

    Returns
    -------
    LoadReport or None
        None if there is no header, or if it holds no valid number of running calls.
    """
    if not value:
        return None
    if value.startswith(TEXT_PREFIX):
        metrics = _parse_text(value.removeprefix(TEXT_PREFIX))
    elif value.startswith(JSON_PREFIX):
        metrics = _parse_json(value.removeprefix(JSON_PREFIX))
    else:
        return None
    if "running" not in metrics:
        return None
    service_time_ms = metrics.get("service_time_ms")
    return LoadReport(
        running_count=_count(metrics["running"]),
        queued_count=_count(metrics.get("queued", 0.0)),
        slot_count=_count(metrics["slots"]) or None if "slots" in metrics else None,
        service_time_s=(
            None
            if service_time_ms is None
            else service_time_ms / MILLISECONDS_PER_SECOND
        ),
        is_leaving=metrics.get("leaving", 0.0) > 0,
        received_at_s=now_s,
    )


def _count(number: float) -> int:
    return int(min(max(number, 0.0), MAX_COUNT))


def _parse_text(text: str) -> dict[str, float]:
    metrics = {}
    for part in text.split(","):
        name, _, number = part.strip().partition("=")
        _add_metric(metrics, name.removeprefix(NAMED_METRIC_PREFIX), number)
    return metrics


def _parse_json(text: str) -> dict[str, float]:
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {}
    metrics: dict[str, float] = {}
    named = document.get("named_metrics") if isinstance(document, dict) else None
    if isinstance(named, dict):
        for name, number in named.items():
            _add_metric(metrics, name, number)
    return metrics


def _add_metric(metrics: dict[str, float], name: str, number: object) -> None:
    try:
        value = float(number)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        return
    if math.isfinite(value) and value >= 0:
        metrics[name] = value
