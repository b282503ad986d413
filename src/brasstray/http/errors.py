"""Define the errors of HTTP calls."""

from __future__ import annotations


class HttpCallError(Exception):
    """Base of the errors of calls that got no complete response."""


class NotConnectedError(HttpCallError):
    """No connection could be opened, so no byte of the request was sent."""


class ConnectionLostError(HttpCallError):
    """The connection ended or violated HTTP before the response was complete."""


__all__ = ["ConnectionLostError", "HttpCallError", "NotConnectedError"]
