"""Runs one instance in a process of its own, so that its memory can be measured."""

from berylhaven.event_log import EventLog
from berylhaven.gateway import (
    GatewayInstance,
    ServerEntry,
    parse_gateway_settings,
)
from berylhaven.gateway.tests._gateway_path import (
    ORDERS,
    READS,
    FakeDialect,
    FakeSource,
    configuration,
    route,
    settings_text,
)
from berylhaven.routes import RequestKind

SLOT_COUNT = 400


def main(callers_address, *server_addresses):
    """Serve callers with two services of one server until standard input ends."""
    routes = [
        route("/export/", RequestKind.DOWNLOAD, READS, timeout_s=60.0),
        route("/read/", RequestKind.IDEMPOTENT, READS, timeout_s=60.0),
        route("/upload/", RequestKind.UPLOAD, ORDERS, timeout_s=60.0),
    ]
    entries = [
        ServerEntry(f"{name}-0", name, address, "here", SLOT_COUNT, False)
        for name, address in zip((READS, ORDERS), server_addresses, strict=True)
    ]
    settings = parse_gateway_settings(settings_text(callers_address=callers_address))
    source = FakeSource(configuration(routes=routes), *entries)
    instance = GatewayInstance(settings, FakeDialect(), source, EventLog())
    instance.start()
    instance.wait()
