"""The command ``catalogue diff``."""

from berylhaven.catalogue import CatalogueDifference, catalogue_differences
from berylhaven.cli._documents import load_catalogue
from berylhaven.cli._output import cell, print_json
from berylhaven.cli._registry import register_command


@register_command("catalogue", "diff")
def catalogue_diff(old: str, new: str, *, json: bool = False) -> None:
    """Print the effective changes from one catalogue to another.

    Order, comments, white space and explicitly written defaults are ignored.

    Parameters
    ----------
    old : str
        The path of the old catalogue.
    new : str
        The path of the new catalogue.
    json : bool
        Print JSON.
    """
    differences = catalogue_differences(load_catalogue(old), load_catalogue(new))
    if json:
        print_json([difference.to_json() for difference in differences])
        return
    for difference in differences:
        print(_describe(difference))
    if not differences:
        print("no difference")


def _describe(difference: CatalogueDifference) -> str:
    if difference.key is None:
        verb = "added" if difference.old_value is None else "removed"
        return f"[{difference.section}] {verb}"
    change = f"{cell(difference.old_value)} -> {cell(difference.new_value)}"
    return f"[{difference.section}] {difference.key}: {change}"
