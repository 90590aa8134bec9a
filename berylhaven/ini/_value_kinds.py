"""Kinds of values, each a function from text to a typed value."""

import math
import re
from collections.abc import Callable
from typing import Any

ValueReader = Callable[[str], Any]

_KINDS: dict[str, ValueReader] = {}

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
PORT_MAXIMUM = 65_535


def register_value_kind(name: str) -> Callable[[ValueReader], ValueReader]:
    """Register a reader of one kind of value.

    Parameters
    ----------
    name : str
        The name by which fields ask for the kind.

    Returns
    -------
    callable
        The decorator of a function that raises ValueError, whose text says what
        would be right.
    """

    def decorate(reader: ValueReader) -> ValueReader:
        _KINDS[name] = reader
        return reader

    return decorate


def value_kind(name: str) -> ValueReader:
    """Return the reader of a kind."""
    return _KINDS[name]


@register_value_kind("integer")
def read_integer(text: str) -> int:
    """Read a whole number written with digits only."""
    if not re.fullmatch(r"[+-]?[0-9]{1,18}", text):
        raise ValueError("write a whole number without a unit")
    return int(text)


@register_value_kind("number")
def read_number(text: str) -> float:
    """Read a finite decimal number."""
    try:
        number = float(text)
    except ValueError:
        raise ValueError("write a number without a unit") from None
    if not math.isfinite(number):
        raise ValueError("write a finite number")
    return number


@register_value_kind("boolean")
def read_boolean(text: str) -> bool:
    """Read yes or no."""
    if text not in ("yes", "no"):
        raise ValueError("write yes or no")
    return text == "yes"


@register_value_kind("name")
def read_name(text: str) -> str:
    """Read a short lower-case name."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("write a name of a-z, 0-9, '_', '.' and '-'")
    return text


@register_value_kind("text")
def read_text(text: str) -> str:
    """Read any text that is not empty."""
    if not text:
        raise ValueError("write a value")
    return text


@register_value_kind("port")
def read_port(text: str) -> int:
    """Read a TCP port."""
    if not re.fullmatch(r"[0-9]{1,5}", text) or int(text) > PORT_MAXIMUM:
        raise ValueError(f"write a port from 0 to {PORT_MAXIMUM}")
    return int(text)


@register_value_kind("address")
def read_address(text: str) -> str:
    """Read HOST:PORT."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or " " in host:
        raise ValueError("write HOST:PORT")
    read_port(port)
    return text


@register_value_kind("addresses")
def read_addresses(text: str) -> tuple[str, ...]:
    """Read addresses separated by commas; empty text means none."""
    parts = [part.strip() for part in text.split(",")]
    return tuple(read_address(part) for part in parts if part)
