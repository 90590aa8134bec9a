"""Decoding of JSON texts with a limit, and by members where a text exceeds it.

The library decodes a text in one turn of the hub. A megabyte of small values takes a
hundred times as long as a megabyte of text, so the parts are limited, not the bytes.
"""

import re
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import orjson

from berylhaven.clock import end_long_turn

# The most parts that are decoded in one turn: 150,000 names of fields, which cost the
# most, take about 50 ms. A configuration of 10,000 routes has 140,000 parts.
PARTS_LIMIT = 150_000
# A string, also one that does not end, characters of the structure, or what is between
# them. Brackets are taken together, so that deep nesting costs little.
TOKEN = re.compile(rb'[^"\[\]{},]++|"(?:[^"\\]++|\\.)*+"?|[\[{]++|[\]}]++|,', re.DOTALL)
OPENING = b"[{"
CLOSING = b"]}"
# A field with its name, as text.
FIELD = re.compile(rb'\s*+"([A-Za-z_]{1,40})"\s*+:(.*)', re.DOTALL)


class TooManyParts(ValueError):
    """A JSON text has more parts than are decoded in one turn."""


def count_parts(text: bytes) -> int:
    """Return an upper bound of the values in a JSON text.

    Parameters
    ----------
    text : bytes
        Any bytes.

    Returns
    -------
    int
        The number of opening brackets and commas, those within strings included.
    """
    return text.count(b",") + text.count(b"[") + text.count(b"{")


def load_json(text: bytes) -> Any:
    """Decode a JSON text that can be decoded in one turn.

    Parameters
    ----------
    text : bytes
        Any bytes.

    Returns
    -------
    object
        The value.

    Raises
    ------
    TooManyParts
        If it has more than `PARTS_LIMIT` parts.
    orjson.JSONDecodeError
        If it is not JSON; a ValueError too.
    """
    count = count_parts(text)
    if count > PARTS_LIMIT:
        raise TooManyParts(f"{count} brackets and commas, more than {PARTS_LIMIT}")
    return orjson.loads(text)


def load_by_members(
    text: bytes,
    list_names: Iterable[str],
    load_member: Callable[[bytes], Any],
    members_limit: int,
) -> dict:
    """Decode an object, and the members of its long lists one by one.

    Parameters
    ----------
    text : bytes
        A JSON object.
    list_names : iterable of str
        The fields with the long lists; missing ones stay missing.
    load_member : callable
        Decodes the text of one member.
    members_limit : int
        The most members of a list.

    Returns
    -------
    dict
        With the results of `load_member` in the lists.

    Raises
    ------
    TooManyParts
        If a list has more members.
    ValueError
        If the text without its lists is not a JSON object, or one of the fields is not
        a list. A text that is cut short is not taken for a shorter one.
    """
    fields = json_fields(text)
    found = {name: fields[name].strip() for name in list_names if name in fields}
    for members in found.values():
        text = text.replace(members, b"[]", 1)
    document = load_json(text)
    if not isinstance(document, dict):
        raise ValueError(f"not an object but of type {type(document).__name__}")
    for name, members in found.items():
        is_list = members.startswith(b"[") and members.endswith(b"]")
        if not is_list or document.get(name) != []:
            raise ValueError(f'field "{name}" is not a list')
        document[name] = loaded = []
        for member in json_members(members):
            if len(loaded) == members_limit:
                raise TooManyParts(f"{name}: more than {members_limit} members")
            loaded.append(load_member(member))
    return document


def json_fields(text: bytes) -> dict[str, bytes]:
    """Return the text of each field of an object, by its name.

    Parameters
    ----------
    text : bytes
        Any bytes.

    Returns
    -------
    dict
        Without fields whose names have other characters than letters and underscores.
    """
    found = filter(None, map(FIELD.fullmatch, json_members(text)))
    return {match[1].decode(): match[2] for match in found}


def json_members(text: bytes) -> Iterator[bytes]:
    """Yield the text of each member of the outermost object or list.

    The turn of the green thread ends where it has taken long.

    Parameters
    ----------
    text : bytes
        Any bytes.

    Yields
    ------
    bytes
        The text of a value, or of a field with its name.
    """
    depth = start = 0
    for token in TOKEN.finditer(text):
        end_long_turn()
        kind, length = token[0][0], token.end() - token.start()
        if kind in OPENING:
            start = start if depth else token.start() + 1
            depth += length
        elif kind in CLOSING and length < depth:
            depth -= length
        elif kind in CLOSING or (kind in b"," and depth == 1):
            # A run of brackets may close more than the outermost object or list.
            end = token.start() + depth - 1
            if text[start:end].strip():
                yield text[start:end]
            if kind in CLOSING:
                return
            start = token.end()
