"""The status document as text tables."""

from berylhaven.cli._output import cell, table

# Shown in the first lines, or left out; all other parts become tables or lines.
HEADER_PARTS = ("instance", "catalogue", "catalogue_refused", "blackboard")
PEER_COLUMNS = (
    "peers_address",
    "data_centre",
    "firm",
    "state",
    "heard_s_ago",
    "load_ratio",
    "catalogue_revision",
    "uptime_s",
)


def status_text(document: dict) -> str:
    """Return the status document as text.

    The form of each part depends on its type, not on its name, so that new parts are
    shown as well: a list of objects becomes a table, an object of numbers becomes
    lines.

    Parameters
    ----------
    document : dict
        The status document of an entry instance.

    Returns
    -------
    str
        The text, of several lines.
    """
    blocks = [_header(document)]
    for name, part in document.items():
        if name not in HEADER_PARTS:
            blocks.append(_format_part(name, part))
    return "\n\n".join(blocks)


def _header(document: dict) -> str:
    instance = document["instance"]
    state = "ready" if instance["is_ready"] else "not ready"
    if instance["is_leaving"]:
        state = "leaving"
    lines = [
        f"{instance['peers_address']} of {instance['firm']} in "
        f"{instance['data_centre']}: {state}, up {instance['uptime_s']} s, "
        f"load {cell(instance['load_ratio'])}"
    ]
    active = document.get("catalogue")
    if active is None:
        lines.append("no active catalogue")
    else:
        lines.append(
            f"catalogue revision {active['revision']}, digest {active['digest']}, "
            f"active for {cell(active['in_force_for_s'])} s"
        )
    rejected = document.get("catalogue_refused")
    if rejected:
        count = rejected["problem_count"]
        lines.append(f"REJECTED revision {rejected['revision']}, {count} problems:")
        lines += [f"  {problem}" for problem in rejected["problems"]]
    return "\n".join(lines)


def _format_part(name: str, part: object) -> str:
    if name == "peers":
        return _format_rows(name, part, PEER_COLUMNS)
    if isinstance(part, dict) and _maps_to_lists(part):
        rows = [{"service": key, **row} for key, rows in part.items() for row in rows]
        return _format_rows(name, rows)
    if isinstance(part, dict) and part and _maps_to_objects(part):
        return _format_rows(name, [{"name": key, **row} for key, row in part.items()])
    if isinstance(part, list):
        return _format_rows(name, part)
    if isinstance(part, dict):
        pairs = "\n".join(f"  {key}: {cell(value)}" for key, value in part.items())
        return f"{name}:\n{pairs or '  none'}"
    return f"{name}: {cell(part)}"


def _maps_to_lists(part: dict) -> bool:
    values = part.values()
    return bool(part) and all(
        isinstance(value, list) and all(isinstance(row, dict) for row in value)
        for value in values
    )


def _maps_to_objects(part: dict) -> bool:
    return all(isinstance(value, dict) for value in part.values())


def _format_rows(name: str, rows: list, columns: tuple[str, ...] = ()) -> str:
    if not rows:
        return f"{name}: none"
    if not all(isinstance(row, dict) for row in rows):
        return f"{name}: {', '.join(map(cell, rows))}"
    headers = columns or tuple(dict.fromkeys(key for row in rows for key in row))
    cells = [[row.get(header) for header in headers] for row in rows]
    return f"{name}:\n{table(headers, cells)}"
