"""Publish catalogues at a steady rate, for the slope over catalogue changes."""

import time

import fire
import urllib3

from bench.slopes._experiments import spread_services
from standins.fleet import HOST, FleetShape

SECONDS_PER_MINUTE = 60.0


def main(
    port: int, changes_per_minute: float, duration_s: float, service_count: int
) -> None:
    """Publish until the time is over.

    Parameters
    ----------
    port : int
        The configuration service's port.
    changes_per_minute : float
        How often.
    duration_s : float
        For how long.
    service_count : int
        How many services the catalogue has.
    """
    shape = FleetShape(spread_services(service_count, service_count), 3)
    http = urllib3.PoolManager(retries=False)
    url = f"http://{HOST}:{port}/v1/values/berylhaven%2Fcatalogue"
    until_s = time.monotonic() + duration_s
    number = time.time_ns()
    while time.monotonic() < until_s:
        number += 1
        http.request("PUT", url, body=shape.catalogue_text(number).encode())
        time.sleep(SECONDS_PER_MINUTE / changes_per_minute)


if __name__ == "__main__":
    fire.Fire(main)
