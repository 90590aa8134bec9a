"""The client of the instance list service."""

import orjson

from berylhaven.discovery._errors import PlatformUnavailable
from berylhaven.discovery._http import PlatformHttp
from berylhaven.discovery._instances import BackendServer, EntryInstance, InstanceList
from berylhaven.settings import InstanceSettings, PlatformSettings

# A row has about 150 bytes: 4 MB are more than 20,000 instances.
ANSWER_LIMIT_BYTES = 4_000_000


class InstanceListService:
    """Reads the instance list of one firm.

    Parameters
    ----------
    settings : PlatformSettings
        Settings with the address of the service.
    instance : InstanceSettings
        Settings with the firm whose instances are requested.
    """

    __slots__ = ("_http", "_path", "_entity_tag", "_last")

    def __init__(self, settings: PlatformSettings, instance: InstanceSettings) -> None:
        self._http = PlatformHttp(settings.instance_list, settings, ANSWER_LIMIT_BYTES)
        self._path = f"/v1/instances?firm={instance.firm}"
        self._entity_tag: str | None = None
        self._last = InstanceList()

    def read(self) -> InstanceList:
        """Read the list.

        Returns
        -------
        InstanceList
            The list that the platform returns, which lags behind the real state.

        Raises
        ------
        PlatformUnavailable
            If the service does not answer with a valid list in time.
        """
        # Conditional request: the complete list every second would be most of an
        # instance's control traffic.
        headers = {"If-None-Match": self._entity_tag} if self._entity_tag else None
        answer = self._http.get(self._path, headers=headers)
        if answer.status == 304 and headers:
            return self._last
        self._last = self._parsed(answer.data)
        self._entity_tag = answer.headers.get("ETag")
        return self._last

    def _parsed(self, raw: bytes) -> InstanceList:
        try:
            document = orjson.loads(raw)
            return InstanceList(
                tuple(_backend_server(row) for row in document["backend_servers"]),
                tuple(_entry_instance(row) for row in document["entry_instances"]),
            )
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailable(
                f"{self._path}: invalid instance list: {error!r}"
            ) from error


def _backend_server(row: dict) -> BackendServer:
    return BackendServer(
        address=row["address"],
        service=row["service"],
        data_centre=row["data_centre"],
        slot_count=int(row["slot_count"]),
        incarnation=int(row["incarnation"]),
        is_leaving=row["state"] == "leaving",
    )


def _entry_instance(row: dict) -> EntryInstance:
    return EntryInstance(
        peers_address=row["peers_address"],
        data_centre=row["data_centre"],
        is_leaving=row["state"] == "leaving",
    )
