"""Define the errors of the entry layer."""

from __future__ import annotations


class EntryError(Exception):
    """Base class of the entry layer's errors."""


class JournalUnreachableError(EntryError):
    """No leader replied in time; the requested record may have been committed."""


__all__ = ["EntryError", "JournalUnreachableError"]
