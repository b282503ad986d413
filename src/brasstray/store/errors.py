"""Name what can go wrong between an entry host and the store."""

from __future__ import annotations


class StoreError(Exception):
    """Base of the store layer's errors."""


class StoreUnavailableError(StoreError):
    """The store gave no reply; a write may or may not have taken effect."""


class StoreConflictError(StoreError):
    """The compare of a compare-and-swap failed; nothing was written."""


class HistoryLostError(StoreError):
    """The changes asked for are not known any more; read everything again."""


__all__ = [
    "HistoryLostError",
    "StoreConflictError",
    "StoreError",
    "StoreUnavailableError",
]
