"""Records and reports for tests."""

from berylhaven.discovery import BackendServer
from berylhaven.load import LoadReport, LoadTable

SERVICE = "positions"


def report(running=0, queued=0, at_s=0.0, is_leaving=False):
    return LoadReport(running, queued, 4, None, is_leaving, at_s)


def backend_server(index, incarnation=1, data_centre="a", service=SERVICE):
    address = f"10.0.0.{index}:80"
    return BackendServer(address, service, data_centre, 4, incarnation, False)


def table_of(count, now_s=None, data_centres="a"):
    table = LoadTable()
    rows = [
        backend_server(i, data_centre=data_centres[i % len(data_centres)])
        for i in range(count)
    ]
    table.update_servers(SERVICE, rows, now_s)
    return table


def answer(server, duration_s, at_s, running=None, queued=0):
    """Record one call that a server answers."""
    server.call_started()
    load_report = None if running is None else report(running, queued, at_s)
    server.call_answered(duration_s, load_report, at_s)
