"""Describe a service that jobs can request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.job.ids import ServiceName


@dataclass(frozen=True)
class Service:
    """Hold a service's name, and whether its jobs may be marked repeatable."""

    name: ServiceName
    repeatable: bool


__all__ = ["Service"]
