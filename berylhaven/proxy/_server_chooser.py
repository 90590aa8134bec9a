"""Choice of a backend server by the routing policy, with a log line per decision."""

from random import Random

from berylhaven.clock import monotonic_s
from berylhaven.load import LoadTable, ServerLoad
from berylhaven.operations import DecisionLog, PlacementDecision
from berylhaven.proxy._call_request import CallRequest
from berylhaven.results import NoBackendServer, NoBackendServerInTime
from berylhaven.routing import RoutingDecision, RoutingRequest, choose

RETRY_AFTER_S = 1.0


class ServerChooser:
    """Chooses backend servers for calls.

    Parameters
    ----------
    data_centre : str
        The data centre of this entry instance.
    load_table : LoadTable
        The load records.
    decision_log : DecisionLog
        Receives a line for each decision.
    random : Random
        The source of random numbers.
    """

    __slots__ = ("_data_centre", "_load_table", "_decision_log", "_random")

    def __init__(
        self,
        data_centre: str,
        load_table: LoadTable,
        decision_log: DecisionLog,
        random: Random,
    ) -> None:
        self._data_centre = data_centre
        self._load_table = load_table
        self._decision_log = decision_log
        self._random = random

    def choose(self, request: CallRequest, excluded: frozenset[str]) -> ServerLoad:
        """Choose a backend server for one attempt.

        Parameters
        ----------
        request : CallRequest
            The call.
        excluded : frozenset of str
            Addresses where an attempt failed; used only if no other server is left.

        Returns
        -------
        ServerLoad
            The load record of the chosen server.

        Raises
        ------
        CallRefused
            If the service has no server, or none that can answer in time.
        """
        candidates = self._load_table.candidates(request.service.name)
        if all(server.address in excluded for server in candidates):
            excluded = frozenset()
        routing_request = RoutingRequest(
            now_s=monotonic_s(),
            deadline_s=request.deadline_s,
            data_centre=self._data_centre,
            random=self._random,
            excluded=excluded,
        )
        decision = choose(request.service.routing_policy, routing_request, candidates)
        self._log_decision(request, decision)
        if decision.server is not None:
            return decision.server
        if not candidates:
            message = f"service {request.service.name} has no backend server"
            raise NoBackendServer(message, RETRY_AFTER_S)
        raise NoBackendServerInTime(
            f"none of {len(candidates)} backend servers of service "
            f"{request.service.name} is expected to answer before the deadline",
            RETRY_AFTER_S,
        )

    def _log_decision(self, request: CallRequest, decision: RoutingDecision) -> None:
        if not self._decision_log.try_acquire_line():
            return
        self._decision_log.write(
            PlacementDecision(
                call_id=request.call_id,
                service=request.service.name,
                policy=request.service.routing_policy,
                chosen=decision.server.address if decision.server else None,
                candidate_count=decision.candidate_count,
                news_age_s=decision.report_age_s,
                estimated_finish_s=decision.estimated_finish_s,
            )
        )
