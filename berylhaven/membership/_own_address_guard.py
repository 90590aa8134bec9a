"""Finding another run under this instance's own address."""

from berylhaven.membership._announcement import Announcement
from berylhaven.membership._identity import Identity

# Rivals that answer each other's rise must not raise each other for ever.
RAISE_LIMIT = 3
RAISE_WINDOW_S = 600.0


class OwnAddressGuard:
    """Decides what to do when peers know another run at the own address.

    A record that an earlier run left behind, or a wall clock that went back before a
    restart, is outbid once. A second process that answers by outbidding in its turn
    is found by the repetition.
    """

    __slots__ = ("_raised_at_s", "is_contested")

    def __init__(self) -> None:
        self._raised_at_s: list[float] = []
        # Whether another process lives under the same address.
        self.is_contested = False

    def raised_incarnation(
        self, identity: Identity, seen: Announcement, now_s: float
    ) -> int | None:
        """Return the incarnation to take on, or None to keep the present one.

        Parameters
        ----------
        identity : Identity
            This run.
        seen : Announcement
            What a peer holds under this run's address.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        int or None
            Above the one seen, unless that was outbid too often already.
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
