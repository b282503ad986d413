"""Read and write JSON bodies whose names are in the platform's spelling."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict
from pydantic.alias_generators import to_pascal


class Body(BaseModel):
    """Spell the fields of subclasses in capitals, as TimeoutMs for timeout_ms.

    Fields that are not known are ignored: newer ones may come.
    """

    model_config = ConfigDict(
        alias_generator=to_pascal, populate_by_name=True, extra="ignore", frozen=True
    )

    def encode(self) -> bytes:
        """Return the JSON; fields that are not set are left out."""
        return self.model_dump_json(by_alias=True, exclude_none=True).encode()


__all__ = ["Body"]
