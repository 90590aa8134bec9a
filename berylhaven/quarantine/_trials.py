"""Which instance tries a held request again.

Load pattern: a held request comes to all instances again and again. If each tried
it when its time has come, it would cost as many servers as there are instances.
"""

import zlib
from collections.abc import Collection

from berylhaven.quarantine._crash_evidence import Hold

# One instance is chosen; after this time any instance may try.
CHOICE_PERIOD_S = 60.0
# The time between two trials of an instance whose result is not known.
TRIAL_INTERVAL_S = 30.0


class Trials:
    """The trials that an instance has made."""

    __slots__ = ("_tried_at_s",)

    def __init__(self) -> None:
        # When each request was tried last, by fingerprint.
        self._tried_at_s: dict[str, float] = {}

    def try_start(
        self,
        fingerprint: str,
        hold: Hold,
        own_address: str,
        addresses: Collection[str],
        now_s: float,
    ) -> bool:
        """Start a trial if one is due and it is up to this instance.

        Parameters
        ----------
        fingerprint : str
            The fingerprint of the request.
        hold : Hold
            Its hold.
        own_address : str
            The peers' address of this instance.
        addresses : collection of str
            Those of all instances that accept callers.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        bool
            Whether the request may be sent once.
        """
        if hold.remaining_s > 0:
            return False
        self._drop_old(now_s)
        if fingerprint in self._tried_at_s:
            return False
        is_overdue = -hold.remaining_s > CHOICE_PERIOD_S
        if not is_overdue and own_address != _chosen(fingerprint, addresses):
            return False
        self._tried_at_s[fingerprint] = now_s
        return True

    def withdraw(self, fingerprint: str) -> None:
        """Allow another trial at once: the last one did not reach a server."""
        self._tried_at_s.pop(fingerprint, None)

    def _drop_old(self, now_s: float) -> None:
        for fingerprint, tried_at_s in list(self._tried_at_s.items()):
            if now_s - tried_at_s > TRIAL_INTERVAL_S:
                del self._tried_at_s[fingerprint]


def _chosen(fingerprint: str, addresses: Collection[str]) -> str | None:
    """Return the instance on which all that know the same instances agree."""
    return max(
        addresses,
        key=lambda address: zlib.crc32(f"{fingerprint}{address}".encode()),
        default=None,
    )
