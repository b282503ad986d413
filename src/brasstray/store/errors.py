"""Define the errors of calls to the store."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of the errors in this module."""


class StoreUnavailableError(StoreError):
    """The store returned no usable reply; a write may or may not have taken effect."""


class StoreConflictError(StoreError):
    """The version compared by a compare-and-swap differed; nothing was written."""


class HistoryLostError(StoreError):
    """The store no longer has the requested changes; take a new snapshot."""


__all__ = [
    "HistoryLostError",
    "StoreConflictError",
    "StoreError",
    "StoreUnavailableError",
]
