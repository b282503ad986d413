"""Read and write JSON bodies whose names are in the platform's spelling."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from typing import Self


class UnreadableBodyError(Exception):
    """The text is no body of the kind that was asked for."""


class Body(
    msgspec.Struct, rename="pascal", frozen=True, omit_defaults=True, kw_only=True
):
    """Spell the fields of subclasses in capitals, as TimeoutMs for timeout_ms.

    Fields that are not known are ignored: newer ones may come. Numbers may come as
    text or as whole fractions.
    """

    def encode(self) -> bytes:
        """Return the JSON; fields that have their default are left out."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, text: bytes) -> Self:
        """Return the body in `text`; raise UnreadableBodyError if it has none."""
        return cls._decode(text, strict=False)

    @classmethod
    def decode_strictly(cls, text: bytes) -> Self:
        """Return the body in `text`, whose fields must be of their own types."""
        return cls._decode(text, strict=True)

    @classmethod
    def _decode(cls, text: bytes, *, strict: bool) -> Self:
        try:
            found: Self = _decoder(cls, strict).decode(text)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise UnreadableBodyError(str(error)) from error
        return found


@cache
def _decoder(kind: type, strict: bool) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(kind, strict=strict)


__all__ = ["Body", "UnreadableBodyError"]
