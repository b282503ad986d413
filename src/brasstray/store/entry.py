"""Describe one value of the key-value service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StoreEntry:
    """Hold a name, its value and the version that wrote it."""

    name: str
    value: bytes
    version: int


__all__ = ["StoreEntry"]
