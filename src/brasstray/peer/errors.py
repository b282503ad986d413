"""Define the errors of calls between hosts."""

from __future__ import annotations


class PeerError(Exception):
    """Base class of the errors in this module."""


class PeerNotReachedError(PeerError):
    """The message was not sent, or was rejected unhandled: it had no effect."""


class PeerReplyLostError(PeerError):
    """The message was sent but no reply arrived: it may have taken effect."""


class UnreadableMessageError(PeerError):
    """The received data is not a message of this protocol."""


__all__ = [
    "PeerError",
    "PeerNotReachedError",
    "PeerReplyLostError",
    "UnreadableMessageError",
]
