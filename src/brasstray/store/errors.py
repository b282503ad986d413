"""Name what can go wrong between an entry host and the platform."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of the platform layer's errors."""


class StoreUnavailableError(PlatformError):
    """The store gave no reply; a write may or may not have taken effect."""


class StoreConflictError(PlatformError):
    """The compare of a compare-and-swap failed; nothing was written."""


__all__ = ["PlatformError", "StoreConflictError", "StoreUnavailableError"]
