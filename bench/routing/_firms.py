"""The services, servers and network latencies of the two firms."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Firm:
    """The services of one firm as the benchmark simulates them."""

    # The firm's name.
    name: str
    # The number of backend servers of each service.
    server_counts: tuple[int, ...]
    # The number of calls that one server runs in parallel.
    slot_count: int
    # The one-way latency between two data centres, in seconds.
    between_data_centres_s: float
    # The one-way latency within a data centre, in seconds.
    within_data_centre_s: float
    # The mean time that a call occupies a slot, in seconds.
    service_time_s: float
    # The slot time that one probe uses, in seconds.
    probe_cost_s: float
    # Callers cancel a call after this time, in seconds.
    deadline_s: float

    def capacity_per_s(self, server_count: int) -> float:
        """Return how many calls a number of servers can run per second."""
        return server_count * self.slot_count / self.service_time_s


DATA_CENTRES = ("a", "b", "c")
ENTRY_INSTANCES = 20
MEASURING_BUDGET_RATIO = 0.01

CARPATIC = Firm("carpatic", (16, 8, 6), 4, 0.0005, 0.0001, 0.006, 0.006, 0.25)
KIVU = Firm("kivu", (17, 9, 6), 6, 0.001, 0.0001, 0.006, 0.006, 0.25)
FIRMS = (CARPATIC, KIVU)
