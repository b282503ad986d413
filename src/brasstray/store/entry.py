"""Define an entry of the key-value service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StoreEntry:
    """Hold a name, its value and the version of the write that set it."""

    name: str
    value: bytes
    version: int


__all__ = ["StoreEntry"]
