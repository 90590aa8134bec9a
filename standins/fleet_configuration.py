"""What is written to the store of a gateway fleet: configurations and servers."""

import orjson

ROUTES_HOST = "shop.example"
READS, ORDERS = "reads", "orders"


def configuration_value(
    version: int, timeout_s: float, added_prefix: str = ""
) -> bytes:
    """Return a configuration with a route of each kind, encoded as in the store."""
    rules = [
        _rule("/read/", "safe", READS, timeout_s),
        _rule("/large/", "safe", READS, timeout_s),
        _rule("/order/", "unsafe", ORDERS, timeout_s),
        _rule("/upload/", "upload", ORDERS, timeout_s),
    ]
    if added_prefix:
        rules.append(_rule(added_prefix, "safe", READS, timeout_s))
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864}
    limits |= {"HeaderTimeoutS": 3, "IdleTimeoutS": 15}
    clusters = [
        {"Name": name, "HealthPath": "/health", "MaxConns": 300}
        for name in (READS, ORDERS)
    ]
    document = {
        "Version": f"{version:08x}",
        "Limits": limits,
        "Listeners": [{"Host": ROUTES_HOST, "Rules": rules}],
        "Clusters": clusters,
    }
    return orjson.dumps(document)


def _rule(prefix: str, kind: str, service: str, timeout_s: float) -> dict:
    return {
        "Name": f"r-{prefix.strip('/')}",
        "Kind": kind,
        "TargetLatencyS": 0.4,
        "Priority": 1,
        "Matcher": {"PathPrefix": prefix},
        "Action": {"Service": service, "TimeoutS": timeout_s, "MaxAttempts": 2},
    }


def server_value(
    service: str,
    address: str,
    data_centre: str,
    slot_count: int = 4,
    state: str = "ready",
) -> bytes:
    """Return the value of a server's item in the store."""
    info = {"Service": service, "Version": "v1", "Zone": data_centre}
    info["Slots"] = slot_count
    status = {"State": state, "Sequence": 1, "WarmupLeftS": 0}
    return orjson.dumps({"Address": address, "Info": info, "Status": status})
