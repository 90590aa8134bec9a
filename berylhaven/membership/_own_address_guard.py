"""Detection of another run at this instance's own address."""

from berylhaven.membership._announcement import Announcement
from berylhaven.membership._identity import Identity

# Limits how often the incarnation is raised, so that two processes at one address do
# not raise their incarnations against each other without end.
RAISE_LIMIT = 3
RAISE_WINDOW_S = 600.0


class OwnAddressGuard:
    """Decides how to react when peers store another run at the own address.

    One raise of the incarnation resolves a stale entry of an earlier run, also when the
    wall clock was set back before a restart. A second process at the same address
    raises its own incarnation in return and is detected by the repetition.
    """

    __slots__ = ("_raised_at_s", "is_contested")

    def __init__(self) -> None:
        self._raised_at_s: list[float] = []
        # Whether another process uses the same address.
        self.is_contested = False

    def raised_incarnation(
        self, identity: Identity, seen: Announcement, now_s: float
    ) -> int | None:
        """Return the incarnation to adopt, or None to keep the current one.

        Parameters
        ----------
        identity : Identity
            The identity of this run.
        seen : Announcement
            The announcement that a peer stores for this run's address.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        int or None
            One above the incarnation seen; None if there is no conflict, or if the
            incarnation was raised too often within the window.
        """
        if seen.nonce == identity.nonce or seen.incarnation < identity.incarnation:
            return None
        recent = [at for at in self._raised_at_s if now_s - at < RAISE_WINDOW_S]
        self._raised_at_s = recent
        if len(recent) >= RAISE_LIMIT:
            self.is_contested = True
            return None
        recent.append(now_s)
        return seen.incarnation + 1
