"""Represent a parsed log line of a host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

MESSAGE_PREFIX = "brasstray:"
# Fields that eliot adds to each line; they carry no information about the event.
_ELIOT_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold the time of a line in seconds, the host that wrote it, and its fields.

    `at` is the time that a log collector put in front of the line, or else the host's
    wall-clock time, which may be wrong by the error of its clock.
    """

    at: float
    host: str
    kind: str
    fields: Mapping[str, object]

    @property
    def job(self) -> str | None:
        """Return the id of the request that the line is about, if any."""
        job = self.fields.get("job")
        return str(job) if job is not None else None

    def text(self, name: str) -> str:
        """Return a field as text; empty if it is missing or null."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def number(self, name: str) -> float:
        """Return a field as a number; 0 if it is missing or not a number."""
        value = self.fields.get(name)
        return float(value) if isinstance(value, (int, float)) else 0.0

    def displayed_fields(self) -> dict[str, object]:
        """Return the fields to display: all but those of the library and null ones."""
        return {
            name: value
            for name, value in self.fields.items()
            if name not in _ELIOT_FIELDS and value is not None
        }


__all__ = ["MESSAGE_PREFIX", "LogLine"]
