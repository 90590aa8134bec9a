"""The status document as tables that a person can read."""

from berylhaven.cli._output import cell, table

# What the first lines say; the other parts of the document become tables.
HEAD_PARTS = ("instance", "catalogue", "catalogue_refused", "blackboard")
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
    """Return the document as text.

    A part that is a list of objects becomes a table, one that is an object of
    numbers becomes lines, whatever part it is, so that new parts are shown as well.

    Parameters
    ----------
    document : dict
        As an entry instance answered it.

    Returns
    -------
    str
        Lines of text.
    """
    blocks = [_head(document)]
    for name, part in document.items():
        if name not in HEAD_PARTS:
            blocks.append(_block(name, part))
    return "\n\n".join(blocks)


def _head(document: dict) -> str:
    own = document["instance"]
    state = "ready" if own["is_ready"] else "not ready"
    if own["is_leaving"]:
        state = "leaving"
    lines = [
        f"{own['peers_address']} of {own['firm']} in {own['data_centre']}: {state}, "
        f"up {own['uptime_s']} s, load {cell(own['load_ratio'])}"
    ]
    in_force = document.get("catalogue")
    if in_force is None:
        lines.append("no catalogue in force")
    else:
        lines.append(
            f"catalogue revision {in_force['revision']}, digest {in_force['digest']}, "
            f"in force for {cell(in_force['in_force_for_s'])} s"
        )
    refused = document.get("catalogue_refused")
    if refused:
        count = refused["problem_count"]
        lines.append(f"REFUSED revision {refused['revision']}, {count} faults:")
        lines += [f"  {problem}" for problem in refused["problems"]]
    return "\n".join(lines)


def _block(name: str, part: object) -> str:
    if name == "peers":
        return _rows(name, part, PEER_COLUMNS)
    if isinstance(part, dict) and _holds_lists(part):
        rows = [{"service": key, **row} for key, rows in part.items() for row in rows]
        return _rows(name, rows)
    if isinstance(part, dict) and part and _holds_objects(part):
        return _rows(name, [{"name": key, **row} for key, row in part.items()])
    if isinstance(part, list):
        return _rows(name, part)
    if isinstance(part, dict):
        pairs = "\n".join(f"  {key}: {cell(value)}" for key, value in part.items())
        return f"{name}:\n{pairs or '  none'}"
    return f"{name}: {cell(part)}"


def _holds_lists(part: dict) -> bool:
    values = part.values()
    return bool(part) and all(
        isinstance(value, list) and all(isinstance(row, dict) for row in value)
        for value in values
    )


def _holds_objects(part: dict) -> bool:
    return all(isinstance(value, dict) for value in part.values())


def _rows(name: str, rows: list, columns: tuple[str, ...] = ()) -> str:
    if not rows:
        return f"{name}: none"
    if not all(isinstance(row, dict) for row in rows):
        return f"{name}: {', '.join(map(cell, rows))}"
    heads = columns or tuple(dict.fromkeys(key for row in rows for key in row))
    cells = [[row.get(head) for head in heads] for row in rows]
    return f"{name}:\n{table(heads, cells)}"
