"""Decode the configuration that operators write."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from brasstray.batch.configuration import BodyLimits, Configuration
from brasstray.batch.ids import ConfigVersion, QueueName
from brasstray.batch.queue import Queue
from brasstray.clock.bounded import bounded_ms
from brasstray.host.operator_source import UnreadableConfigError
from brasstray.job.ids import ServiceName
from brasstray.platform.body import Body, UnreadableBodyError, Whole

# Larger numbers in a route count as these.
MAX_PRIORITY = 1_000
MAX_ATTEMPTS = 1_000
MAX_STRETCH = 1_000.0
MAX_SLACK = timedelta(days=1)


class Route(Body, frozen=True, kw_only=True):
    """Describe a queue; `slo_ms` is the part of its objective on top of `stretch`."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slo_ms: int = 0

    def to_queue(self) -> Queue:
        """Convert the route to a queue."""
        return Queue(
            QueueName(self.name),
            self.host,
            self.prefix,
            ServiceName(self.service),
            max(-MAX_PRIORITY, min(self.priority, MAX_PRIORITY)),
            max(1, min(self.attempts, MAX_ATTEMPTS)),
            max(0.0, min(self.stretch, MAX_STRETCH)),
            max(timedelta(0), min(bounded_ms(self.slo_ms), MAX_SLACK)),
        )


class ServiceBody(Body, frozen=True, kw_only=True):
    """Describe a service that minions may provide."""

    name: str


class Limits(Body, frozen=True, kw_only=True):
    """Limit the size of callers' requests."""

    max_body_bytes: int = BodyLimits().body_bytes


class ConfigurationBody(Body, frozen=True, kw_only=True):
    """Describe a whole configuration."""

    version: Whole
    routes: list[Route] = msgspec.field(default_factory=list)
    services: list[ServiceBody] = msgspec.field(default_factory=list)
    limits: Limits = msgspec.field(default_factory=Limits)


def parse_configuration(text: bytes) -> Configuration:
    """Decode a configuration; raise UnreadableConfigError if it is invalid."""
    try:
        body = ConfigurationBody.decode(text)
    except UnreadableBodyError as error:
        raise UnreadableConfigError(str(error)) from error
    return Configuration(
        ConfigVersion(body.version),
        tuple(route.to_queue() for route in body.routes),
        BodyLimits(body.limits.max_body_bytes),
        text,
        frozenset(ServiceName(service.name) for service in body.services),
    )


__all__ = ["parse_configuration"]
