"""Hold the response to a call over HTTP."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Hold a status, headers as they came, and the whole body."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    content: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first header called `name`, which is in lower case."""
        return next((v for k, v in self.headers if k.lower() == name), None)


__all__ = ["HttpReply"]
