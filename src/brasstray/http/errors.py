"""Name what can go wrong in a call over HTTP."""

from __future__ import annotations


class HttpCallError(Exception):
    """Base of the errors of calls over HTTP; no whole response came."""


class NotConnectedError(HttpCallError):
    """No connection was to be had, so that no byte of the request was sent."""


class ConnectionLostError(HttpCallError):
    """The connection ended, or broke the protocol, before the response was whole."""


__all__ = ["ConnectionLostError", "HttpCallError", "NotConnectedError"]
