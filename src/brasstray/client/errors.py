"""Define the errors of calls to entry hosts."""

from __future__ import annotations


class ClientError(Exception):
    """Base of the client layer's errors."""


class UnreachableError(ClientError):
    """No usable answer came; the job may be accepted, so retry with the same key."""


__all__ = ["ClientError", "UnreachableError"]
