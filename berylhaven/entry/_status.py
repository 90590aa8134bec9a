"""The status document of one entry instance."""

from berylhaven.catalogue import (
    CATALOGUE_REFUSAL_SECTION,
    CATALOGUE_SECTION,
    Catalogue,
)
from berylhaven.clock import monotonic_s
from berylhaven.controllers import ControllerContext
from berylhaven.entry._limits_status import firm_rows, lease_rows, limits_rows
from berylhaven.load import ServerLoad
from berylhaven.membership import DRAIN_SECTION
from berylhaven.operations import process_usage

# A rejected catalogue may have thousands of faults; `catalogue check` shows all.
SHOWN_FAULTS_LIMIT = 20


def status_document(context: ControllerContext) -> dict:
    """Return the state of the instance as a JSON object.

    Parameters
    ----------
    context : ControllerContext
        The instance's components.

    Returns
    -------
    dict
        The instance itself, the catalogue, peers, backend servers and limits.
    """
    now_s = monotonic_s()
    return {
        "instance": context.local_instance.announcement().to_json(),
        "catalogue": _catalogue_status(context, now_s),
        "catalogue_refused": _rejected_catalogue_status(context, now_s),
        "peers": [
            {
                **peer.announcement.to_json(),
                "state": peer.state(now_s).value,
                "heard_s_ago": round(now_s - peer.announced_at_s, 3),
            }
            for peer in context.peer_table.peers()
        ],
        "backend_servers": {
            service: [
                _server_row(record, now_s)
                for record in context.load_table.candidates(service)
            ]
            for service in context.load_table.services()
        },
        "drain": _drain_status(context, now_s),
        "peer_traffic": _peer_traffic_status(context),
        "calls_in_flight": context.gate.in_flight_count,
        "overload_pressure": round(context.gate.overload.pressure, 3),
        "firms": firm_rows(context.gate, _active_catalogue(context)),
        "limits": limits_rows(context.gate, now_s),
        "leases": lease_rows(context.gate, now_s),
        "process": process_usage().to_json(),
        "blackboard": context.blackboard.owners(),
    }


def _active_catalogue(context: ControllerContext) -> Catalogue | None:
    reading = context.blackboard.read(CATALOGUE_SECTION)
    return None if reading is None else reading.value.catalogue


def _catalogue_status(context: ControllerContext, now_s: float) -> dict | None:
    reading = context.blackboard.read(CATALOGUE_SECTION)
    if reading is None:
        return None
    return {
        "revision": reading.value.revision,
        "digest": reading.value.digest,
        "in_force_for_s": round(reading.age_s(now_s), 3),
    }


def _rejected_catalogue_status(context: ControllerContext, now_s: float) -> dict | None:
    reading = context.blackboard.read(CATALOGUE_REFUSAL_SECTION)
    in_force = context.blackboard.read(CATALOGUE_SECTION)
    if reading is None:
        return None
    if in_force is not None and in_force.value.revision > reading.value.revision:
        return None
    problems = reading.value.problems
    return {
        "revision": reading.value.revision,
        "refused_s_ago": round(reading.age_s(now_s), 3),
        "problem_count": len(problems),
        "problems": [str(problem) for problem in problems[:SHOWN_FAULTS_LIMIT]],
    }


def _drain_status(context: ControllerContext, now_s: float) -> dict | None:
    reading = context.blackboard.read(DRAIN_SECTION)
    if reading is None:
        return None
    progress = reading.value
    return {
        "stage": progress.stage.value,
        "began_s_ago": round(now_s - progress.drain.began_at_s, 3),
        "closes_in_s": round(max(0.0, progress.drain.closing_at_s - now_s), 3),
        "ends_at_latest_in_s": round(max(0.0, progress.drain.ends_by_s - now_s), 3),
        "calls_in_flight": progress.in_flight_count,
    }


def _peer_traffic_status(context: ControllerContext) -> dict:
    traffic = context.peer_traffic
    return {
        "sent_bytes": traffic.sent_bytes,
        "received_bytes": traffic.received_bytes,
        "sent_messages": traffic.sent_messages,
        "received_messages": traffic.received_messages,
    }


def _server_row(record: ServerLoad, now_s: float) -> dict:
    age_s = record.report_age_s(now_s)
    return {
        "address": record.address,
        "data_centre": record.data_centre,
        "slot_count": record.slot_count,
        "own_in_flight": record.own_in_flight,
        "running": record.report.running_count if record.report else None,
        "queued": record.report.queued_count if record.report else None,
        "news_age_s": None if age_s is None else round(age_s, 3),
        "service_time_s": record.service_time_s,
        "slow_ratio": round(record.slow_ratio, 2),
        "consecutive_failures": record.consecutive_failures,
        "is_ejected": record.is_ejected(now_s),
    }
