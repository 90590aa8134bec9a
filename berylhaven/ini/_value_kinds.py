"""Kinds of values, each a function from text to a typed value."""

import ipaddress
import math
import re
from collections.abc import Callable
from typing import Any

ValueParser = Callable[[str], Any]

_KINDS: dict[str, ValueParser] = {}

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
# Digits are matched possessively, so that the time is proportional to the length.
NUMBER_PATTERN = re.compile(
    r"[+-]?([0-9]++(\.[0-9]*+)?|\.[0-9]++)([eE][+-]?[0-9]{1,3})?"
)
HOST_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]{0,252}")
INTEGER_DIGIT_LIMIT = 18
MAX_PORT = 65_535


def register_value_kind(name: str) -> Callable[[ValueParser], ValueParser]:
    """Register the parser of a value kind.

    Parameters
    ----------
    name : str
        The name by which fields refer to the kind.

    Returns
    -------
    callable
        The decorator for the parser; the parser raises ValueError, whose text states
        the expected form.
    """

    def decorate(parser: ValueParser) -> ValueParser:
        _KINDS[name] = parser
        return parser

    return decorate


def value_kind(name: str) -> ValueParser:
    """Return the parser of a value kind."""
    return _KINDS[name]


@register_value_kind("integer")
def parse_integer(text: str) -> int:
    """Parse a whole number written with digits only."""
    if not re.fullmatch(r"[+-]?[0-9]+", text):
        raise ValueError("expected a whole number without a unit")
    if len(text) > INTEGER_DIGIT_LIMIT:
        raise ValueError(f"expected at most {INTEGER_DIGIT_LIMIT} digits")
    return int(text)


@register_value_kind("number")
def parse_number(text: str) -> float:
    """Parse a finite decimal number."""
    if not NUMBER_PATTERN.fullmatch(text):
        raise ValueError("expected a number without a unit")
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("expected a finite number")
    return number


@register_value_kind("boolean")
def parse_boolean(text: str) -> bool:
    """Parse yes or no."""
    if text not in ("yes", "no"):
        raise ValueError("expected yes or no")
    return text == "yes"


@register_value_kind("name")
def parse_name(text: str) -> str:
    """Parse a short lower-case name."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("expected a name of a-z, 0-9, '_', '.' and '-'")
    return text


@register_value_kind("text")
def parse_text(text: str) -> str:
    """Parse any text that is not empty."""
    if not text:
        raise ValueError("expected a value that is not empty")
    return text


@register_value_kind("port")
def parse_port(text: str) -> int:
    """Parse a TCP port."""
    if not re.fullmatch(r"[0-9]{1,5}", text) or not 1 <= int(text) <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}")
    return int(text)


@register_value_kind("ip_number")
def parse_ip_address(text: str) -> str:
    """Parse the IPv4 address of a host."""
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        raise ValueError("expected an IPv4 address such as 10.0.0.1") from None
    if address.is_unspecified or address.is_multicast:
        raise ValueError("expected an IPv4 address that other hosts can connect to")
    return str(address)


@register_value_kind("address")
def parse_address(text: str) -> str:
    """Parse HOST:PORT."""
    host, separator, port = text.rpartition(":")
    if not separator or not HOST_PATTERN.fullmatch(host):
        raise ValueError("expected HOST:PORT")
    parse_port(port)
    return text


@register_value_kind("addresses")
def parse_addresses(text: str) -> tuple[str, ...]:
    """Parse addresses separated by commas; empty text means none."""
    parts = [part.strip() for part in text.split(",")]
    return tuple(parse_address(part) for part in parts if part)
