"""Name what can go wrong between entry hosts."""

from __future__ import annotations


class PeerError(Exception):
    """Base of the peer layer's errors."""


class PeerNotReachedError(PeerError):
    """The message was not sent, or was refused unread: it had no effect."""


class PeerReplyLostError(PeerError):
    """The message was sent and no reply came: it may have had its effect."""


class UnreadableMessageError(PeerError):
    """What came is no message of this protocol."""


__all__ = [
    "PeerError",
    "PeerNotReachedError",
    "PeerReplyLostError",
    "UnreadableMessageError",
]
