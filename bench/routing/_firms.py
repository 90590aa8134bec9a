"""The two firms' services, servers and distances."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Firm:
    """One firm's main service as the bench drives it."""

    # The firm's name.
    name: str
    # Backend servers of each service.
    server_counts: tuple[int, ...]
    # Calls that one server runs at once.
    slot_count: int
    # One way between two data centres, in seconds.
    between_data_centres_s: float
    # One way within a data centre, in seconds.
    within_data_centre_s: float
    # The mean time of one call in a slot, in seconds.
    service_time_s: float
    # What one probe costs a server, in seconds of a slot.
    probe_cost_s: float
    # Callers give up after this time.
    deadline_s: float

    def capacity_per_s(self, server_count: int) -> float:
        """Return how many calls a service's servers can run in a second."""
        return server_count * self.slot_count / self.service_time_s


DATA_CENTRES = ("a", "b", "c")
ENTRY_INSTANCES = 20
MEASURING_BUDGET_RATIO = 0.01

CARPATIC = Firm("carpatic", (16, 8, 6), 4, 0.0005, 0.0001, 0.006, 0.006, 0.25)
KIVU = Firm("kivu", (17, 9, 6), 6, 0.001, 0.0001, 0.006, 0.006, 0.25)
FIRMS = (CARPATIC, KIVU)
