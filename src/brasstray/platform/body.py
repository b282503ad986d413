"""Encode and decode JSON bodies with the platform's PascalCase field names."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING, Annotated, Any

import msgspec

if TYPE_CHECKING:
    from typing import Self

# Larger integers lose digits in JSON readers that use floating-point numbers.
MAX_WHOLE = 2**53 - 1
Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
ClockMs = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]


class UnreadableBodyError(Exception):
    """The text is not a valid JSON body of the requested type."""


class Body(
    msgspec.Struct, rename="pascal", frozen=True, omit_defaults=True, kw_only=True
):
    """Map fields of subclasses to PascalCase keys, such as timeout_ms to TimeoutMs.

    Unknown fields are ignored, since newer versions of the platform may add some.
    `decode` also accepts numbers as strings, and integers as floats without a
    fractional part.
    """

    def encode(self) -> bytes:
        """Encode to JSON, without the fields that have their default value."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, text: bytes) -> Self:
        """Decode `text`, converting numbers; raise UnreadableBodyError if invalid."""
        return cls._decode(text, strict=False)

    @classmethod
    def decode_strictly(cls, text: bytes) -> Self:
        """Decode `text` without converting types; raise UnreadableBodyError."""
        return cls._decode(text, strict=True)

    @classmethod
    def _decode(cls, text: bytes, *, strict: bool) -> Self:
        try:
            found: Self = _decoder(cls, strict).decode(text)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise UnreadableBodyError(str(error)) from error
        return found


@cache
def _decoder(body_type: type, strict: bool) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(body_type, strict=strict)


__all__ = ["MAX_WHOLE", "Body", "ClockMs", "UnreadableBodyError", "Whole"]
