"""Kinds of values, each a function from text to a typed value."""

import ipaddress
import math
import re
from collections.abc import Callable
from typing import Any

ValueParser = Callable[[str], Any]

_KINDS: dict[str, ValueParser] = {}

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
NUMBER_PATTERN = re.compile(r"[+-]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][+-]?[0-9]{1,3})?")
HOST_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]{0,252}")
INTEGER_DIGITS_MAXIMUM = 18
PORT_MAXIMUM = 65_535


def register_value_kind(name: str) -> Callable[[ValueParser], ValueParser]:
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

    def decorate(reader: ValueParser) -> ValueParser:
        _KINDS[name] = reader
        return reader

    return decorate


def value_kind(name: str) -> ValueParser:
    """Return the reader of a kind."""
    return _KINDS[name]


@register_value_kind("integer")
def parse_integer(text: str) -> int:
    """Read a whole number written with digits only."""
    if not re.fullmatch(r"[+-]?[0-9]+", text):
        raise ValueError("write a whole number without a unit")
    if len(text) > INTEGER_DIGITS_MAXIMUM:
        raise ValueError(f"write at most {INTEGER_DIGITS_MAXIMUM} digits")
    return int(text)


@register_value_kind("number")
def parse_number(text: str) -> float:
    """Read a finite decimal number."""
    if not NUMBER_PATTERN.fullmatch(text):
        raise ValueError("write a number without a unit")
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("write a finite number")
    return number


@register_value_kind("boolean")
def parse_boolean(text: str) -> bool:
    """Read yes or no."""
    if text not in ("yes", "no"):
        raise ValueError("write yes or no")
    return text == "yes"


@register_value_kind("name")
def parse_name(text: str) -> str:
    """Read a short lower-case name."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("write a name of a-z, 0-9, '_', '.' and '-'")
    return text


@register_value_kind("text")
def parse_text(text: str) -> str:
    """Read any text that is not empty."""
    if not text:
        raise ValueError("write a value")
    return text


@register_value_kind("port")
def parse_port(text: str) -> int:
    """Read a TCP port."""
    if not re.fullmatch(r"[0-9]{1,5}", text) or not 1 <= int(text) <= PORT_MAXIMUM:
        raise ValueError(f"write a port from 1 to {PORT_MAXIMUM}")
    return int(text)


@register_value_kind("ip_number")
def parse_ip_number(text: str) -> str:
    """Read the IPv4 number of one machine."""
    try:
        number = ipaddress.IPv4Address(text)
    except ValueError:
        raise ValueError("write an IPv4 number such as 10.0.0.1") from None
    if number.is_unspecified or number.is_multicast:
        raise ValueError("write the IPv4 number that others can connect to")
    return str(number)


@register_value_kind("address")
def parse_address(text: str) -> str:
    """Read HOST:PORT."""
    host, separator, port = text.rpartition(":")
    if not separator or not HOST_PATTERN.fullmatch(host):
        raise ValueError("write HOST:PORT")
    parse_port(port)
    return text


@register_value_kind("addresses")
def parse_addresses(text: str) -> tuple[str, ...]:
    """Read addresses separated by commas; empty text means none."""
    parts = [part.strip() for part in text.split(",")]
    return tuple(parse_address(part) for part in parts if part)
