"""Publish catalogues at a constant rate, for the experiment on catalogue changes."""

import time

import fire
import urllib3

from bench.slopes._experiments import spread_services
from standins.fleet import HOST, FleetShape

SECONDS_PER_MINUTE = 60.0


def main(
    port: int, changes_per_minute: float, duration_s: float, service_count: int
) -> None:
    """Publish catalogues for a period of time.

    Parameters
    ----------
    port : int
        The port of the configuration service.
    changes_per_minute : float
        The number of published catalogues per minute.
    duration_s : float
        The period in seconds.
    service_count : int
        The number of services in the catalogue.
    """
    shape = FleetShape(spread_services(service_count, service_count), 3)
    http = urllib3.PoolManager(retries=False)
    url = f"http://{HOST}:{port}/v1/values/berylhaven%2Fcatalogue"
    end_at_s = time.monotonic() + duration_s
    number = time.time_ns()
    while time.monotonic() < end_at_s:
        number += 1
        http.request("PUT", url, body=shape.catalogue_text(number).encode())
        time.sleep(SECONDS_PER_MINUTE / changes_per_minute)


if __name__ == "__main__":
    fire.Fire(main)
