"""Gateways of an earlier build that are replaced by the current one, one by one."""

from collections.abc import Sequence
from pathlib import Path

from bench.gateway_soak._loss_rules import LossClass, PlannedStop
from bench.gateway_soak._recovery_checks import check_configuration
from bench.gateway_soak._soak_context import SoakContext
from standins.gateway_fleet import GatewayFleet, GatewayProcess, wait_until

# Gossip tells all members of a start within this time.
MEMBERS_BOUND_S = 5.0
# What an earlier build may do to requests in its own stop. Foreign answers, double runs
# and false promises are never allowed.
OWN_STOP_LOSSES = frozenset(
    {
        LossClass.ANSWER_LOST,
        LossClass.NEVER_PASSED_ON,
        LossClass.OWN_ANSWER_DURING_WORK,
        LossClass.OWN_ANSWER_AFTER_WORK,
    }
)
CURRENT_BUILD = Path()


def start_old_build(
    fleet: GatewayFleet, gateways: Sequence[GatewayProcess], commit: str
) -> Path:
    """Restart gateways by an earlier build, and wait until they are ready.

    Parameters
    ----------
    fleet : GatewayFleet
        The fleet, without callers.
    gateways : sequence of GatewayProcess
        The gateways.
    commit : str
        The commit of the earlier build.

    Returns
    -------
    Path
        The root of its tree.
    """
    tree = fleet.export_tree(commit)
    for gateway in gateways:
        gateway.process.kill()
        gateway.process.wait()
        gateway.tree = tree
        fleet.start_gateway(gateway)
    for gateway in gateways:
        fleet.wait_until_ready(gateway)
    return tree


def is_loss_of_old_build(found: LossClass, stops: list[PlannedStop]) -> bool:
    """Return whether an earlier build has lost a request in its own stop.

    Parameters
    ----------
    found : LossClass
        In which way it was lost.
    stops : list of PlannedStop
        The stops, in which it ended, of the gateways that had it.

    Returns
    -------
    bool
        False if the current build or the mix of both has lost it.
    """
    return found in OWN_STOP_LOSSES and any(
        stop.is_old_build and not stop.is_kill for stop in stops
    )


def check_mixed_fleet(context: SoakContext) -> list[str]:
    """Return what does not work between the builds that run.

    Parameters
    ----------
    context : SoakContext
        The context of the run.

    Returns
    -------
    list of str
        Configurations that a gateway does not apply in time, and gateways that do not
        name all others to callers.
    """
    broken = check_configuration(context)
    fleet = context.fleet
    expected = {gateway.address() for gateway in fleet.gateways}
    for gateway in fleet.gateways:
        try:
            wait_until(
                lambda g=gateway: set(fleet.locate(g)) == expected, MEMBERS_BOUND_S
            )
        except TimeoutError:
            named = ", ".join(sorted(fleet.locate(gateway)))
            broken.append(f"{gateway.address()} names {named} to callers")
    return broken


def ended_processes(fleet: GatewayFleet) -> list[str]:
    """Return a line for each gateway whose process is not there."""
    return [
        f"{gateway.address()} has ended by itself with status {gateway.process.poll()}"
        for gateway in fleet.gateways
        if gateway.process.poll() is not None
    ]
