"""What happens in a run with planned stops."""

from dataclasses import dataclass

from bench.gateway_soak._stop_callers import SLOW_RATIO

GRACE_S = 6.0
SLOT_COUNT = 16


@dataclass(slots=True, frozen=True)
class StopOptions:
    """What happens in a run with planned stops."""

    # The seed of requests and times.
    seed: int = 1
    # The number of callers that wait for each answer, and of those that pipeline.
    caller_count: int = 48
    pipelining_count: int = 8
    # The number of busy processes beside the fleet.
    busy_count: int = 0
    gateway_count: int = 3
    # The number of stops. More than one overlap: the next gateway is stopped while
    # others still drain, and each is started again after its exit.
    stop_count: int = 1
    # Whether SIGHUP and another SIGTERM are sent in the middle of each stop.
    sends_further_signals: bool = False
    # Whether configurations are written during the run.
    changes_configuration: bool = False
    # Whether faults of the store and SIGHUP of other gateways come beside the stops.
    injects_faults: bool = False
    # The slots of each server.
    slot_count: int = SLOT_COUNT
    # The time that each process has between SIGTERM and its end.
    grace_s: float = GRACE_S
    # When a process that has not exited is killed, None for the grace. Less than the
    # grace makes losses that the run must find.
    kill_after_s: float | None = None
    # For how long each process does not run around its SIGTERM, and how long after the
    # begin of this the signal is sent: it is noticed late, as on a starved machine.
    pause_s: float = 0.0
    signal_after_s: float = 0.0
    # The number of callers that send a request behind one with Connection: close.
    closing_count: int = 0
    # The part of the connections on which large answers are read slowly.
    slow_ratio: float = SLOW_RATIO
    # The bytes that each gateway may hold; None for its default.
    held_limit_bytes: int | None = None
    # Whether one gateway is cut off from all servers, so that it passes requests on;
    # it is the last one to be stopped, or the first one.
    cuts_gateway: bool = False
    stops_cut_gateway: bool = False
    # Whether processes are killed without notice instead of stopped.
    kills: bool = False
    # The commit of an earlier build by which all gateways start; they are replaced by
    # the current build one after the other. `CURRENT_TREE` copies the current files.
    old_commit: str = ""
    # Whether they are replaced by the earlier build again afterwards.
    returns: bool = False
    # How many are replaced; all if 0.
    replaced_count: int = 0
