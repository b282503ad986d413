"""Define and parse network endpoints."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

MAX_PORT = 65_535
_EXPECTED_FORM = "an IP address and a port, as 127.0.0.1:8080"


@dataclass(frozen=True)
class Endpoint:
    """Hold an IP address and a port."""

    address: str
    port: int


def parse_endpoint(text: str) -> Endpoint:
    """Parse an address and port; raise ValueError, which names the expected form."""
    match = re.fullmatch(r"(.+):(\d{1,5})", text)
    if match is None or int(match[2]) > MAX_PORT:
        raise ValueError(_EXPECTED_FORM)
    try:
        ipaddress.ip_address(match[1])
    except ValueError:
        raise ValueError(_EXPECTED_FORM) from None
    return Endpoint(match[1], int(match[2]))


__all__ = ["Endpoint", "parse_endpoint"]
