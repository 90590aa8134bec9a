"""Whether bytes for a caller or a server are taken into memory, wait, or are refused.

Load pattern: hundreds of callers that read their answers slowly or not at all, while
other callers send uploads to servers that read slowly. What is held for them all must
fit into the memory of the instance, and what is held for one kind must not take the
room of another.
"""

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass

# Bodies and answers up to this size are small. A kind of their own keeps requests with
# small bodies served while large ones take up their whole share.
SMALL_BYTES = 65_536
# The time constant of the release rate, in seconds.
RELEASE_TIME_S = 1.0
# The range of the Retry-After values.
MIN_RETURN_S = 0.1
MAX_RETURN_S = 2.0
# The expected size of the answers of a download route before the first one.
INITIAL_DOWNLOAD_BYTES = 131_072
# The share of the difference by which the expected size decreases with each smaller
# answer.
SIZE_DECAY_RATIO = 1 / 8
# The time in which the expected size halves without a large answer. While requests are
# refused for lack of room there are no answers that would correct it.
SIZE_HALF_LIFE_S = 0.2
# It does not fall below this by time alone: a small answer would not wait for room.
MIN_DECAYED_BYTES = 2 * SMALL_BYTES
# For how long the announced or expected rest of an answer keeps room that it does not
# use, in seconds. At 100 Mbit/s the largest one that fits arrives within 0.4 s.
CLAIM_LIMIT_S = 0.5
# The range of the steps in which an answer grows that has no claim.
MIN_STEP_BYTES = 4_096
MAX_STEP_BYTES = 65_536


class HeldKind(enum.Enum):
    """What bytes are held for; each kind has a share of the account."""

    # The only pending request of its connection.
    HEAD = "head"
    # A request that was received before the ones in front of it were answered.
    PIPELINED_HEAD = "pipelined-head"
    # Request bodies up to `SMALL_BYTES`.
    SMALL_BODY = "small-body"
    # Larger request bodies.
    LARGE_BODY = "large-body"
    # Answers up to `SMALL_BYTES`.
    SMALL_ANSWER = "small-answer"
    # Larger answers.
    LARGE_ANSWER = "large-answer"


# The share of the account that is kept free for each kind. The rest is for any kind.
GUARANTEED_RATIO = {
    HeldKind.HEAD: 1 / 16,
    HeldKind.PIPELINED_HEAD: 1 / 16,
    HeldKind.SMALL_BODY: 1 / 16,
    HeldKind.LARGE_BODY: 2 / 16,
    HeldKind.SMALL_ANSWER: 1 / 16,
    HeldKind.LARGE_ANSWER: 4 / 16,
}


class Admission(enum.Enum):
    """What happens to bytes for which room in the account is requested."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True, frozen=True)
class AdmissionDecision:
    """A decision, and when there is expected to be room."""

    # What happens.
    admission: Admission
    # The time until there is expected to be room, within the range of Retry-After
    # values, in seconds; 0 if there is room.
    return_s: float = 0.0


def body_kind(size_bytes: int) -> HeldKind:
    """Return the kind of a request body of this size."""
    return HeldKind.SMALL_BODY if size_bytes <= SMALL_BYTES else HeldKind.LARGE_BODY


def answer_kind(size_bytes: int) -> HeldKind:
    """Return the kind of an answer of this size."""
    is_small = size_bytes <= SMALL_BYTES
    return HeldKind.SMALL_ANSWER if is_small else HeldKind.LARGE_ANSWER


def room_bytes(
    kind: HeldKind, held_bytes: Mapping[HeldKind, int], limit_bytes: int
) -> float:
    """Return how many more bytes of a kind fit; negative if too many are held.

    Parameters
    ----------
    kind : HeldKind
        The kind of the bytes.
    held_bytes : mapping of HeldKind to int
        The bytes held now.
    limit_bytes : int
        The size of the account.

    Returns
    -------
    float
        What is left of the account beside what the other kinds hold, or are
        guaranteed if that is more; at least what is guaranteed to this kind.
    """
    others = sum(
        max(held_bytes[other], GUARANTEED_RATIO[other] * limit_bytes)
        for other in HeldKind
        if other is not kind
    )
    available = max(limit_bytes - others, GUARANTEED_RATIO[kind] * limit_bytes)
    return available - held_bytes[kind]


def decide_admission(
    kind: HeldKind,
    size_bytes: int,
    held_bytes: Mapping[HeldKind, int],
    limit_bytes: int,
    release_per_s: float,
    wait_limit_s: float,
) -> AdmissionDecision:
    """Return whether bytes are admitted, wait for room, or are refused.

    Parameters
    ----------
    kind : HeldKind
        The kind of the bytes.
    size_bytes : int
        Their number.
    held_bytes : mapping of HeldKind to int
        The bytes held now.
    limit_bytes : int
        The size of the account.
    release_per_s : float
        How many bytes of the kind are released in a second.
    wait_limit_s : float
        How long they may wait; infinite if they cannot be refused.

    Returns
    -------
    AdmissionDecision
        A single item of a kind is admitted at any size, since it could otherwise never
        be.
    """
    missing_bytes = size_bytes - room_bytes(kind, held_bytes, limit_bytes)
    if missing_bytes <= 0 or not held_bytes[kind]:
        return AdmissionDecision(Admission.ADMIT)
    expected_s = missing_bytes / release_per_s if release_per_s > 0 else math.inf
    return_s = min(MAX_RETURN_S, max(MIN_RETURN_S, expected_s))
    if expected_s <= wait_limit_s:
        return AdmissionDecision(Admission.WAIT, return_s)
    return AdmissionDecision(Admission.REFUSE, return_s)


def decide_growth(
    total_bytes: int,
    others_bytes: Mapping[HeldKind, int],
    limit_bytes: int,
    release_per_s: float,
    wait_limit_s: float,
    may_exceed: bool,
) -> AdmissionDecision:
    """Return whether an answer that is being read may take more memory.

    Answers that each hold a part and wait for their rest would wait for one another, so
    one of them at a time may exceed the room.

    Parameters
    ----------
    total_bytes : int
        What the answer is to hold.
    others_bytes : mapping of HeldKind to int
        The bytes that all others hold.
    limit_bytes : int
        The size of the account.
    release_per_s : float
        How many bytes of the kind are released in a second.
    wait_limit_s : float
        How long the answer may wait; infinite if it cannot be refused.
    may_exceed : bool
        Whether it is the one that may exceed the room.

    Returns
    -------
    AdmissionDecision
        Small answers are always admitted.
    """
    kind = answer_kind(total_bytes)
    if kind is HeldKind.SMALL_ANSWER or may_exceed:
        return AdmissionDecision(Admission.ADMIT)
    return decide_admission(
        kind, total_bytes, others_bytes, limit_bytes, release_per_s, wait_limit_s
    )


def may_claim(size_bytes: int, limit_bytes: int) -> bool:
    """Return whether an answer gets room for its whole length at once.

    Parameters
    ----------
    size_bytes : int
        Its announced length.
    limit_bytes : int
        The size of the account.

    Returns
    -------
    bool
        False for a small answer, which needs no claim, and for one that does not fit
        beside what is guaranteed to the other kinds.
    """
    empty = dict.fromkeys(HeldKind, 0)
    available = room_bytes(HeldKind.LARGE_ANSWER, empty, limit_bytes)
    return SMALL_BYTES < size_bytes <= available


def growth_step_bytes(received_bytes: int) -> int:
    """Return how much is reserved beyond what an answer has received."""
    return max(MIN_STEP_BYTES, min(MAX_STEP_BYTES, received_bytes))


class ReleaseRate:
    """How many bytes are released in a second, as a decaying average."""

    __slots__ = ("_bytes", "_at_s")

    def __init__(self) -> None:
        self._bytes = 0.0
        self._at_s = -math.inf

    def record(self, size_bytes: int, now_s: float) -> None:
        """Add released bytes."""
        self._bytes = self._decayed_bytes(now_s) + size_bytes
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the rate in bytes a second."""
        return self._decayed_bytes(now_s) / RELEASE_TIME_S

    def _decayed_bytes(self, now_s: float) -> float:
        # A reservation may be released after a test has set its clock back.
        age_s = max(0.0, now_s - self._at_s)
        return self._bytes * math.exp(-age_s / RELEASE_TIME_S)


class ExpectedSize:
    """The size to expect of a route's next answer: near the largest recent ones.

    With the mean, requests were sent whose answers then found no room, and held all
    connections to their server.

    Parameters
    ----------
    initial_bytes : int
        The expected size before the first answer.
    """

    __slots__ = ("_size_bytes", "_recorded_at_s")

    def __init__(self, initial_bytes: int = 0) -> None:
        self._size_bytes = initial_bytes
        self._recorded_at_s = math.inf

    def size_bytes(self, now_s: float) -> int:
        """Return the expected size.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        int
            The size in bytes.
        """
        if self._size_bytes <= MIN_DECAYED_BYTES:
            return self._size_bytes
        age_s = max(0.0, now_s - self._recorded_at_s)
        decayed_bytes = self._size_bytes * 0.5 ** (age_s / SIZE_HALF_LIFE_S)
        return max(MIN_DECAYED_BYTES, int(decayed_bytes))

    def record(self, size_bytes: int, now_s: float) -> None:
        """Add an answer.

        Parameters
        ----------
        size_bytes : int
            The size of its body.
        now_s : float
            The time on the hub's clock.
        """
        expected_bytes = self.size_bytes(now_s)
        if size_bytes < expected_bytes:
            excess_bytes = expected_bytes - size_bytes
            size_bytes = expected_bytes - int(excess_bytes * SIZE_DECAY_RATIO)
        self._size_bytes = size_bytes
        self._recorded_at_s = now_s
