"""Define the response to an HTTP call."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """Hold the status, the headers as received, and the complete body."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    content: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first header called `name`, which must be in lower case."""
        return next((v for k, v in self.headers if k.lower() == name), None)


__all__ = ["ClientResponse"]
