"""The demonstration of ``make run-gateways``: gateways of the platform on loopback."""

import collections
import sys
import time

import eventlet

eventlet.monkey_patch()

import fire  # noqa: E402

from standins.gateway_callers import GatewayCallers, broken_promises  # noqa: E402
from standins.gateway_fleet import GatewayFleet  # noqa: E402

TABLE_INTERVAL_S = 2.0


def main(duration_s: float = 10.0, gateway_count: int = 3) -> None:
    """Run gateways, servers and callers, print a table and check the promises.

    Parameters
    ----------
    duration_s : float
        The time for which requests are sent, in seconds.
    gateway_count : int
        The number of gateways.
    """
    print(f"starting {gateway_count} gateways ...", flush=True)
    with GatewayFleet(gateway_count) as fleet:
        callers = GatewayCallers(fleet)
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            time.sleep(min(TABLE_INTERVAL_S, max(0.0, end_s - time.monotonic())))
            print(_table(callers), flush=True)
        callers.stop()
        broken = broken_promises(fleet, callers.answers)
    for name, count in broken.items():
        print(f"promise {name}: broken {count} times")
    sys.exit(1 if broken or not callers.answers else 0)


def _table(callers: GatewayCallers) -> str:
    counts = collections.Counter(callers.answers.values())
    rows = [
        f"{kind:6} {status!s:8} {count:8}" for (kind, status), count in counts.items()
    ]
    return "\n".join(["kind   status      count", *sorted(rows), ""])


if __name__ == "__main__":
    fire.Fire(main)
