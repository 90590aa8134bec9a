"""Measure the cost of call ids, and the load that retries add in an outage.

Run ``python -m bench.call_ids``. The first part registers calls at the rate and for
the lifetime of the long run; the second counts attempts while every attempt fails.
"""

import gc
import time
import tracemalloc
from random import Random

import fire

from berylhaven.calls import (
    CLASSIFICATIONS,
    AttemptEnd,
    CallId,
    CallRegistry,
    FailedAttempt,
    RetryBudget,
    StoredAnswer,
    is_safe_to_retry,
)
from berylhaven.settings import CallsSettings

RATE_PER_S = 2_400
CALL_ID_LIFETIME_S = 60
NONCE = "00ff00ff"
MICROSECONDS_PER_S = 1e6
BYTES_PER_MEGABYTE = 1e6
ANSWER_BODY_BYTES = 200
OUTAGE_CALLS = 24_000
RETRY_RATIO = 0.1
SEED = 7


def caller_parts(count: int) -> list[str]:
    """Return the callers' parts of a number of call ids, as the client makes them."""
    source = Random(SEED)
    return [f"{source.getrandbits(96):024x}" for _ in range(count)]


def register_calls(
    registry: CallRegistry, parts: list[str], keeps_answers: bool
) -> float:
    """Open and end calls in a registry and return the duration in seconds."""
    started_s = time.perf_counter()
    for index, caller_part in enumerate(parts):
        uptime_s = index / RATE_PER_S
        call_id = CallId(NONCE, int(uptime_s), caller_part)
        # Distinct fingerprint objects, so that the memory of each record is measured.
        fingerprint = index.to_bytes(8)
        _, record = registry.open(call_id, fingerprint, uptime_s, uptime_s)
        answer = None
        if keeps_answers:
            headers = [("Content-Length", str(index)), ("Etag", f"{index:032x}")]
            answer = StoredAnswer("200 OK", headers, bytes(ANSWER_BODY_BYTES))
        registry.record_answer(record, answer)
    return time.perf_counter() - started_s


def measure_registry(kept_limit_bytes: int, keeps_answers: bool) -> None:
    """Print the time and memory that the calls of one lifetime take."""
    count = RATE_PER_S * CALL_ID_LIFETIME_S
    settings = CallsSettings(count, 4_096, kept_limit_bytes)
    elapsed_s = register_calls(
        CallRegistry(settings, CALL_ID_LIFETIME_S, NONCE),
        caller_parts(count),
        keeps_answers,
    )
    gc.collect()
    tracemalloc.start()
    registry = CallRegistry(settings, CALL_ID_LIFETIME_S, NONCE)
    register_calls(registry, caller_parts(count), keeps_answers)
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kind = "answers kept" if keeps_answers else "no answer kept"
    print(
        f"{kind}: {registry.remembered_count} ids remembered, "
        f"{elapsed_s / count * MICROSECONDS_PER_S:.2f} us a call, "
        f"{held_bytes / count:.0f} bytes an id, "
        f"{held_bytes / BYTES_PER_MEGABYTE:.1f} MB, "
        "of which kept answers "
        f"{registry.stored_answer_bytes / BYTES_PER_MEGABYTE:.1f} MB"
    )


def measure_outage() -> None:
    """Print how many attempts are made in an outage of all backend servers."""
    budget = RetryBudget()
    attempts = 0
    for _ in range(OUTAGE_CALLS):
        budget.record_call(RETRY_RATIO)
        failed_count = 0
        while True:
            attempts += 1
            failed_count += 1
            failed = FailedAttempt(
                CLASSIFICATIONS[AttemptEnd.NOT_CONNECTED],
                failed_count,
                True,
                True,
                2.0,
                0.0,
            )
            if not is_safe_to_retry(failed) or not budget.try_acquire(RETRY_RATIO):
                break
    print(
        f"outage: {OUTAGE_CALLS} calls, {attempts} attempts, "
        f"load multiplied by {attempts / OUTAGE_CALLS:.4f} at a ratio of {RETRY_RATIO}"
    )


def main() -> None:
    """Run all measurements and print their results."""
    call_id = str(CallId(NONCE, 86_400, caller_parts(1)[0]))
    header_bytes = len(f"Berylhaven-Call-Id: {call_id}\r\n")
    print(f"header: {header_bytes} bytes in each request and each answer")
    measure_registry(0, keeps_answers=False)
    measure_registry(16_000_000, keeps_answers=True)
    measure_outage()


if __name__ == "__main__":
    fire.Fire(main)
