"""Callers of a gateway fleet, and checks of their answers against the servers' runs."""

import collections
import secrets

import eventlet
import urllib3

from standins.gateway_fleet import ORDERS, ROUTES_HOST, GatewayFleet

SENDER_COUNT = 9
LOCATE_RETRY_DELAY_S = 0.05
UPLOAD_BODY = b"u" * 60_000
REQUEST_DEADLINE_MS = 2_000
# Statuses that promise that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
HTTP_STATUS_OK = 200
FOREIGN_ANSWER = "foreign"


class GatewayCallers:
    """Sends reads, orders and uploads to the gateways in locate answers.

    Parameters
    ----------
    fleet : GatewayFleet
        The running fleet.
    """

    __slots__ = ("_fleet", "answers", "_is_stopping", "_threads")

    def __init__(self, fleet: GatewayFleet) -> None:
        self._fleet = fleet
        # Kind and status by request id; the status is None if no answer came.
        self.answers: dict[str, tuple[str, int | str | None]] = {}
        self._is_stopping = False
        self._threads = [
            eventlet.spawn(self._send_repeatedly, n) for n in range(SENDER_COUNT)
        ]

    def stop(self) -> None:
        """Stop sending and wait until the requests in flight have ended."""
        self._is_stopping = True
        for thread in self._threads:
            thread.wait()

    def _send_repeatedly(self, sender_index: int) -> None:
        pool = urllib3.PoolManager(
            retries=False, timeout=2 * REQUEST_DEADLINE_MS / 1_000
        )
        attempt_number = 0
        # Callers of the platform don't reuse an address at which a request has failed.
        failed = set()
        kind = ("read", "order", "upload")[sender_index % 3]
        gateways = self._fleet.gateways
        while not self._is_stopping:
            attempt_number += 1
            try:
                addresses = self._fleet.locate(gateways[attempt_number % len(gateways)])
            except (urllib3.exceptions.HTTPError, KeyError):
                eventlet.sleep(LOCATE_RETRY_DELAY_S)
                continue
            candidates = [a for a in addresses if a not in failed] or addresses
            address = candidates[attempt_number % len(candidates)]
            request_id = secrets.token_hex(8)
            status = self._send_request(pool, address, kind, request_id)
            self.answers[request_id] = (kind, status)
            if status is None:
                failed.add(address)

    def _send_request(
        self, pool: urllib3.PoolManager, address: str, kind: str, request_id: str
    ) -> int | str | None:
        headers = {
            "Host": ROUTES_HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(REQUEST_DEADLINE_MS),
        }
        method = "GET" if kind == "read" else "POST"
        body = UPLOAD_BODY if kind == "upload" else None
        url = f"http://{address}/{kind}/x"
        try:
            answer = pool.request(method, url, headers=headers, body=body)
        except urllib3.exceptions.HTTPError:
            return None
        seal = answer.headers.get("X-Server-Seal", "")
        if answer.status == HTTP_STATUS_OK and not seal.endswith(request_id):
            return FOREIGN_ANSWER
        return answer.status


def broken_promises(
    fleet: GatewayFleet, answers: dict[str, tuple[str, int | str | None]]
) -> dict[str, int]:
    """Count broken promises by comparing answers with the servers' runs.

    Parameters
    ----------
    fleet : GatewayFleet
        The fleet, still running.
    answers : dict
        Kind and status by request id.

    Returns
    -------
    dict
        Counts by kind of violation; empty if there was none.
    """
    runs = fleet.runs(ORDERS)
    broken: collections.Counter[str] = collections.Counter()
    broken["doubled"] = sum(count > 1 for count in runs.values())
    for request_id, (kind, status) in answers.items():
        if status == FOREIGN_ANSWER:
            broken["foreign answer"] += 1
        if kind != "read" and status in NOT_RUN_STATUSES:
            broken["false not-run"] += request_id in runs
        if kind != "read" and status == HTTP_STATUS_OK:
            broken["answered unrun"] += request_id not in runs
    return {name: count for name, count in broken.items() if count}
