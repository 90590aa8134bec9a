"""Measure what call ids cost, and what retries add to an outage.

Run ``python -m bench.call_ids``. The first part remembers calls at the rate and for
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
LIFETIME_S = 60
NONCE = "00ff00ff"
MICROSECONDS_PER_S = 1e6
MEGABYTE_BYTES = 1e6
ANSWER_BODY_BYTES = 200
OUTAGE_CALLS = 24_000
RETRY_RATIO = 0.1
SEED = 7


def own_parts(count: int) -> list[str]:
    """Return callers' parts of as many ids, as the client library makes them."""
    source = Random(SEED)
    return [f"{source.getrandbits(96):024x}" for _ in range(count)]


def remember(registry: CallRegistry, parts: list[str], is_kept: bool) -> float:
    """Run calls through a registry and return the seconds that it took."""
    started_s = time.perf_counter()
    for index, own_part in enumerate(parts):
        uptime_s = index / RATE_PER_S
        call_id = CallId(NONCE, int(uptime_s), own_part)
        # Each record holds a fingerprint of its own.
        fingerprint = index.to_bytes(8)
        _, record = registry.open(call_id, fingerprint, uptime_s, uptime_s)
        answer = None
        if is_kept:
            headers = [("Content-Length", str(index)), ("Etag", f"{index:032x}")]
            answer = StoredAnswer("200 OK", headers, bytes(ANSWER_BODY_BYTES))
        registry.record_answer(record, answer)
    return time.perf_counter() - started_s


def measure_memory(kept_limit_bytes: int, is_kept: bool) -> None:
    """Print what a lifetime of calls costs in time and memory."""
    count = RATE_PER_S * LIFETIME_S
    settings = CallsSettings(count, 4_096, kept_limit_bytes)
    took_s = remember(
        CallRegistry(settings, LIFETIME_S, NONCE), own_parts(count), is_kept
    )
    gc.collect()
    tracemalloc.start()
    registry = CallRegistry(settings, LIFETIME_S, NONCE)
    remember(registry, own_parts(count), is_kept)
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kind = "answers kept" if is_kept else "no answer kept"
    print(
        f"{kind}: {registry.remembered_count} ids remembered, "
        f"{took_s / count * MICROSECONDS_PER_S:.2f} us a call, "
        f"{held_bytes / count:.0f} bytes an id, "
        f"{held_bytes / MEGABYTE_BYTES:.1f} MB, "
        f"of which kept answers {registry.stored_answer_bytes / MEGABYTE_BYTES:.1f} MB"
    )


def measure_outage() -> None:
    """Print how many attempts an outage of all backend servers gets."""
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
    """Print all figures."""
    call_id = str(CallId(NONCE, 86_400, own_parts(1)[0]))
    header_bytes = len(f"Berylhaven-Call-Id: {call_id}\r\n")
    print(f"header: {header_bytes} bytes in each request and each answer")
    measure_memory(0, is_kept=False)
    measure_memory(16_000_000, is_kept=True)
    measure_outage()


if __name__ == "__main__":
    fire.Fire(main)
