"""Describe where something listens."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

LARGEST_PORT = 65_535
_EXPECTED = "an IP address and a port, as 127.0.0.1:8080"


@dataclass(frozen=True)
class Endpoint:
    """Hold an IP address and a port."""

    address: str
    port: int


def parse_endpoint(text: str) -> Endpoint:
    """Return what `text` names; raise ValueError if it is no address and port."""
    match = re.fullmatch(r"(.+):(\d{1,5})", text)
    if match is None or int(match[2]) > LARGEST_PORT:
        raise ValueError(_EXPECTED)
    try:
        ipaddress.ip_address(match[1])
    except ValueError:
        raise ValueError(_EXPECTED) from None
    return Endpoint(match[1], int(match[2]))


__all__ = ["Endpoint", "parse_endpoint"]
