"""A gateway that is cut off from all servers, so that it passes requests on."""

import re
import secrets
import time

import urllib3

from bench.gateway_soak._loss_rules import PlannedStop, SentRequest
from standins.fleet import HTTP_STATUS_OK, START_TIMEOUT_S
from standins.gateway_fleet import ROUTES_HOST, GatewayFleet, GatewayProcess

# The gateway knows that it reaches no server once this many requests are served.
SERVED_IN_A_ROW = 10
PASSED_ON_PATTERN = re.compile(r'event="passed on" request=(\w+) .*?peer=(\S+) ')


class GatewayCut:
    """Keeps one gateway cut off from all servers, also after it has been restarted.

    Parameters
    ----------
    fleet : GatewayFleet
        The running fleet, with proxies.
    gateway : GatewayProcess
        The gateway.
    """

    __slots__ = ("_fleet", "gateway", "_peers")

    def __init__(self, fleet: GatewayFleet, gateway: GatewayProcess) -> None:
        self._fleet = fleet
        # The gateway that is cut off.
        self.gateway = gateway
        # Peers' addresses of the gateways that a request was passed on to, by its id.
        self._peers: dict[str, set[str]] = {}

    def apply(self) -> None:
        """Cut the current process of the gateway off."""
        self._fleet.cut_from_servers([self.gateway])

    def wait_until_passed_on(self) -> None:
        """Wait until requests of both services are answered by way of other gateways.

        A request that the gateway has sent to a server itself before may have used up
        the servers that its route allows.
        """
        for path, method in (("/read/x", "GET"), ("/order/x", "POST")):
            served_count = 0
            end_s = time.monotonic() + START_TIMEOUT_S
            while served_count < SERVED_IN_A_ROW:
                if time.monotonic() > end_s:
                    raise TimeoutError(f"requests to {path} are not passed on")
                is_served = self._status(path, method) == HTTP_STATUS_OK
                served_count = served_count + 1 if is_served else 0

    def _status(self, path: str, method: str) -> int:
        headers = {"Host": ROUTES_HOST, "X-Request-Id": secrets.token_hex(8)}
        headers["X-Deadline-Ms"] = "1000"
        url = f"http://{self.gateway.address()}{path}"
        answer = urllib3.request(method, url, headers=headers, retries=False)
        return answer.status

    def read_log(self) -> int:
        """Read which requests were passed on; return their number."""
        log = self._fleet.log_text(self.gateway)
        for request_id, peer in PASSED_ON_PATTERN.findall(log):
            self._peers.setdefault(request_id, set()).add(peer)
        return len(self._peers)

    def is_passed_on_again(self, request: SentRequest) -> bool:
        """Return whether the log names more than one gateway for a request."""
        return len(self._peers.get(request.request_id, ())) > 1

    def peer_stops(
        self, request: SentRequest, stops: dict[str, list[PlannedStop]]
    ) -> list[PlannedStop]:
        """Return the stops of the gateways that may have had a request when it ended.

        Parameters
        ----------
        request : SentRequest
            A request that has ended.
        stops : dict of str to list of PlannedStop
            All stops by HOST:PORT of the gateway.

        Returns
        -------
        list of PlannedStop
            Empty if the request's gateway is not the one that is cut off. Those of all
            other gateways if the log, which is limited in lines a second, does not
            name the request.
        """
        if request.gateway != self.gateway.address():
            return []
        peers = self._peers.get(request.request_id)
        return [
            stop
            for other in self._fleet.gateways
            if other is not self.gateway and (not peers or other.address(2) in peers)
            for stop in stops[other.address()]
            if stop.covers(request.ended_s)
        ]
