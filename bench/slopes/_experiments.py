"""A registry of experiments, each of which varies one amount."""

import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from bench.slopes._sample import Sample, measure
from standins.fleet import FleetShape, ProcessFleet, ServiceShape

SETTLE_S = 8.0
MEASUREMENT_WINDOW_S = 10.0
CALLER_COUNT = 16
WARNING_LOG_SETTINGS = "[log]\nlevel = warning\n"


@dataclass(slots=True, frozen=True)
class Point:
    """One measurement of an experiment."""

    # The value of the varied amount.
    amount: float
    # The values measured with that amount.
    sample: Sample


Experiment = Callable[[], Iterator[Point]]

_EXPERIMENTS: dict[str, Experiment] = {}


def register_experiment(name: str) -> Callable[[Experiment], Experiment]:
    """Register an experiment.

    Parameters
    ----------
    name : str
        The varied amount, which is also the heading in the report.

    Returns
    -------
    callable
        The decorator of a function that yields the points.
    """

    def decorate(experiment: Experiment) -> Experiment:
        _EXPERIMENTS[name] = experiment
        return experiment

    return decorate


def experiments() -> dict[str, Experiment]:
    """Return the experiments by name, in the order of registration."""
    return dict(_EXPERIMENTS)


def spread_services(service_count: int, server_count: int) -> tuple[ServiceShape, ...]:
    """Return services of both firms with evenly distributed backend servers.

    Parameters
    ----------
    service_count : int
        The number of services.
    server_count : int
        The number of backend servers of all services together.

    Returns
    -------
    tuple of ServiceShape
        The services, alternating between the firms.
    """
    shapes = []
    for index in range(service_count):
        servers = server_count // service_count
        servers += index < server_count % service_count
        firm = ("carpatic", "kivu")[index % 2]
        shapes.append(ServiceShape(firm, f"service-{index}", "interactive", servers, 4))
    return tuple(shapes)


@register_experiment("peers")
def vary_peers() -> Iterator[Point]:
    """Measure entry instances without calls, with a growing number of peers."""
    for entry_count in (3, 10, 20, 40):
        shape = FleetShape(
            spread_services(2, 16), entry_count, settings_lines=WARNING_LOG_SETTINGS
        )
        yield _measure_without_calls(entry_count, shape)


@register_experiment("backend servers")
def vary_servers() -> Iterator[Point]:
    """Measure three instances without calls, with a growing number of servers."""
    for server_count in (16, 200, 400, 730):
        shape = FleetShape(
            spread_services(6, server_count), 3, settings_lines=WARNING_LOG_SETTINGS
        )
        yield _measure_without_calls(server_count, shape)


@register_experiment("services")
def vary_services() -> Iterator[Point]:
    """Measure three instances without calls, with a growing number of services."""
    for service_count in (6, 40, 75, 110):
        shape = FleetShape(
            spread_services(service_count, 110), 3, settings_lines=WARNING_LOG_SETTINGS
        )
        yield _measure_without_calls(service_count, shape)


@register_experiment("calls a second")
def vary_calls() -> Iterator[Point]:
    """Measure one of three entry instances at growing rates of calls."""
    shape = FleetShape(spread_services(2, 16), 3, settings_lines=WARNING_LOG_SETTINGS)
    with ProcessFleet(shape) as fleet:
        time.sleep(SETTLE_S)
        entry = fleet.entries[0]
        for rate_per_s in (0, 100, 200, 400):
            callers = _start_callers(fleet, rate_per_s) if rate_per_s else None
            time.sleep(2.0)
            yield Point(rate_per_s, measure(fleet, [entry], MEASUREMENT_WINDOW_S))
            if callers is not None:
                callers.communicate(timeout=60.0)


@register_experiment("catalogue kilobytes")
def vary_catalogue_size() -> Iterator[Point]:
    """Measure three entry instances with unchanged catalogues of growing size."""
    for kilobytes in (10, 200, 500, 900):
        shape = FleetShape(
            spread_services(6, 16),
            3,
            settings_lines=WARNING_LOG_SETTINGS,
            catalogue_padding_bytes=kilobytes * 1000,
        )
        yield _measure_without_calls(kilobytes, shape)


@register_experiment("catalogue changes a minute")
def vary_catalogue_changes() -> Iterator[Point]:
    """Measure three entry instances with growing rates of catalogue changes.

    The catalogue has 110 services.
    """
    shape = FleetShape(
        spread_services(110, 110), 3, settings_lines=WARNING_LOG_SETTINGS
    )
    with ProcessFleet(shape) as fleet:
        time.sleep(SETTLE_S)
        for changes_per_minute in (0, 12, 30, 60):
            yield Point(changes_per_minute, _measure_changes(fleet, changes_per_minute))


def _measure_without_calls(amount: float, shape: FleetShape) -> Point:
    with ProcessFleet(shape) as fleet:
        time.sleep(SETTLE_S)
        return Point(amount, measure(fleet, fleet.entries, MEASUREMENT_WINDOW_S))


def _measure_changes(fleet: ProcessFleet, changes_per_minute: int) -> Sample:
    if changes_per_minute == 0:
        return measure(fleet, fleet.entries, MEASUREMENT_WINDOW_S)
    publisher = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "bench.slopes.publish",
            f"--port={fleet.configuration_port}",
            f"--changes_per_minute={changes_per_minute}",
            f"--duration_s={MEASUREMENT_WINDOW_S + 2.0}",
            f"--service_count={len(fleet.shape.services)}",
        ]
    )
    sample = measure(fleet, fleet.entries, MEASUREMENT_WINDOW_S)
    publisher.wait(timeout=30.0)
    return sample


def _start_callers(fleet: ProcessFleet, rate_per_s: int) -> subprocess.Popen:
    host, port = "127.0.0.1", fleet.entries[0].ports[0]
    command = [sys.executable, "-m", "bench.latency_callers"]
    command += [f"--addresses={host}:{port}", "--path=/v1/services/service-0/x"]
    command += [
        f"--callers_count={CALLER_COUNT}",
        f"--duration_s={MEASUREMENT_WINDOW_S + 6.0}",
    ]
    command += [f"--rate_per_s={rate_per_s}"]
    return subprocess.Popen(command, stdout=subprocess.PIPE)
