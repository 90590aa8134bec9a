"""Which data centres are evacuated, and when one may be returned to service.

Load pattern: an operator takes the servers of a whole data centre out of service under
full load, does work there and returns them. In between the store may fail, or come back
from an older copy that lacks what the operator wrote, and all requests of the data
centre's callers go to the servers elsewhere.
"""

from berylhaven.attempts import AttemptEnd, AttemptFailed

# How long a return is held after the end of the store's grace period. What the operator
# wrote just before that end passes two watches on its way to an instance, each of which
# may have paused for 0.4 s.
RETURN_MARGIN_S = 1.0


class Evacuations:
    """The evacuated data centres, of which some may await their return."""

    __slots__ = ("_data_centres", "_awaiting_return")

    def __init__(self) -> None:
        self._data_centres: set[str] = set()
        # Evacuated data centres that the store lists as evacuated no longer.
        self._awaiting_return: set[str] = set()

    @property
    def data_centres(self) -> list[str]:
        """The evacuated data centres in the order of their names."""
        return sorted(self._data_centres)

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether nothing may be sent to the servers of a data centre."""
        return data_centre in self._data_centres

    def awaits_return(self, data_centre: str) -> bool:
        """Return whether an evacuated data centre is returned once that is certain."""
        return data_centre in self._awaiting_return

    def evacuate(self, data_centre: str) -> bool:
        """Evacuate a data centre, which also ends a wait for its return.

        Parameters
        ----------
        data_centre : str
            The data centre.

        Returns
        -------
        bool
            Whether anything changed.
        """
        is_news = (
            data_centre not in self._data_centres
            or data_centre in self._awaiting_return
        )
        self._data_centres.add(data_centre)
        self._awaiting_return.discard(data_centre)
        return is_news

    def request_return(self, data_centre: str) -> bool:
        """Record that the store no longer lists a data centre as evacuated.

        Parameters
        ----------
        data_centre : str
            The data centre.

        Returns
        -------
        bool
            Whether that is news of an evacuated data centre.
        """
        is_evacuated = data_centre in self._data_centres
        if not is_evacuated or data_centre in self._awaiting_return:
            return False
        self._awaiting_return.add(data_centre)
        return True

    def pop_returned(self, now_s: float, grace_end_s: float) -> list[str]:
        """Return the data centres that are in service again from now on.

        Parameters
        ----------
        now_s : float
            The current time on the hub's clock, in seconds.
        grace_end_s : float
            Until when the store may lack what an operator wrote, on the hub's clock;
            infinite while it does not answer.

        Returns
        -------
        list of str
            Empty until RETURN_MARGIN_S after that time.
        """
        if now_s < grace_end_s + RETURN_MARGIN_S:
            return []
        returned = sorted(self._awaiting_return)
        self._data_centres -= self._awaiting_return
        self._awaiting_return.clear()
        return returned

    def check_sending(self, server_id: str, data_centre: str) -> None:
        """Raise AttemptFailed if nothing may be sent to a server.

        It is called immediately before the first byte is sent: connecting takes up to
        0.25 s, in which the data centre of a chosen server may be evacuated.

        Parameters
        ----------
        server_id : str
            The server.
        data_centre : str
            The data centre of the server.

        Raises
        ------
        AttemptFailed
            If the data centre is evacuated.
        """
        if data_centre in self._data_centres:
            raise AttemptFailed(
                AttemptEnd.SERVER_EVACUATED,
                f'data centre "{data_centre}" of server "{server_id}" was evacuated '
                "before anything was sent",
            )
