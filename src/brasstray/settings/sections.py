"""Define the sections of an entry host's settings file."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from brasstray.settings.endpoint import Endpoint, parse_endpoint

_NAME = r"^[A-Za-z0-9_-]{1,64}$"
Name = Annotated[str, Field(pattern=_NAME)]


def _split_names(text: object) -> object:
    if not isinstance(text, str):
        return text
    return [part.strip() for part in text.split(",") if part.strip()]


def _parse_endpoint(text: object) -> object:
    return parse_endpoint(text) if isinstance(text, str) else text


ParsedEndpoint = Annotated[Endpoint, BeforeValidator(_parse_endpoint)]
Names = Annotated[list[Name], BeforeValidator(_split_names), Field(min_length=1)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class EntrySection(_Section):
    """Define the entry host's identity and the endpoints that it listens on."""

    data_centre: Name
    host: Name
    data_centres: Names
    callers: ParsedEndpoint
    peers: ParsedEndpoint


class PlatformSection(_Section):
    """Define the platform's endpoint and the timeout of calls to it."""

    address: ParsedEndpoint
    timeout_ms: int = Field(default=1_000, ge=10, le=60_000)


class LimitsSection(_Section):
    """Limit the load, retention and timeouts of this entry host."""

    max_jobs: int = Field(default=2_000, ge=1, le=100_000)
    key_lifetime_minutes: int = Field(default=240, ge=1, le=1_440)
    answer_hold_seconds: int = Field(default=900, ge=1, le=86_400)
    task_timeout_ms: int = Field(default=30_000, ge=10, le=600_000)
    drain_seconds: int = Field(default=60, ge=1, le=3_600)


class JournalSection(_Section):
    """Limit the rate of a leader's writes to the platform's store."""

    writes_per_second: int = Field(default=50, ge=1, le=1_000)
    write_burst: int = Field(default=10, ge=1, le=1_000)


class ServiceSection(_Section):
    """Describe a service; only jobs of `repeatable` services may be repeatable."""

    repeatable: bool = False


__all__ = [
    "EntrySection",
    "JournalSection",
    "LimitsSection",
    "PlatformSection",
    "ServiceSection",
]
