"""Parse, format and create idempotency keys."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from brasstray.job.ids import DataCentreName, IncarnationId, KeyText
from brasstray.job.incarnation import data_centre_of

if TYPE_CHECKING:
    from random import Random

EXPIRY_FORMAT = "%Y%m%dT%H%M%SZ"
SERIAL_BITS = 96
_PART = r"[A-Za-z0-9._-]{1,128}"
_KEY = re.compile(rf"(own|minted)~(\d{{8}}T\d{{6}}Z)~({_PART})~({_PART})")
KEY_HELP = (
    "a key is own~<expiry>~<home data centre>~<name>, expiry as YYYYMMDDTHHMMSSZ in "
    "UTC, name of 1 to 128 letters, digits, dots, underscores or hyphens that no "
    "other job of yours uses; or ask POST /v1/keys for one"
)


@dataclass(frozen=True)
class CallerKey:
    """Hold a key made by a caller; its home's journal binds it to one executor."""

    expires: datetime
    home: DataCentreName
    name: str

    def text(self) -> KeyText:
        """Return the key as callers write it."""
        return KeyText(f"own~{self.expires:{EXPIRY_FORMAT}}~{self.home}~{self.name}")


@dataclass(frozen=True)
class MintedKey:
    """Hold a key made by an entry host; it names the only executor it can have."""

    expires: datetime
    executor: IncarnationId
    serial: str

    def text(self) -> KeyText:
        """Return the key as callers write it."""
        return KeyText(
            f"minted~{self.expires:{EXPIRY_FORMAT}}~{self.executor}~{self.serial}"
        )


Key = CallerKey | MintedKey


def parse_key(text: str) -> Result[Key, str]:
    """Parse `text` as a key; the error says what is wrong with it."""
    match = _KEY.fullmatch(text)
    if match is None:
        return Err(KEY_HELP)
    kind, expiry, location, name = match.groups()
    try:
        expires = datetime.strptime(expiry, EXPIRY_FORMAT).replace(tzinfo=UTC)
    except ValueError:
        return Err(f"{expiry} is not a time; {KEY_HELP}")
    if kind == "own":
        return Ok(CallerKey(expires, DataCentreName(location), name))
    if location.count(".") != 2:
        return Err(f"{location} does not name an entry host; {KEY_HELP}")
    return Ok(MintedKey(expires, IncarnationId(location), name))


def home_data_centre(key: Key) -> DataCentreName:
    """Return the data centre whose hosts are responsible for `key`."""
    match key:
        case MintedKey():
            return data_centre_of(key.executor)
        case CallerKey():
            return key.home


def mint_key(
    executor: IncarnationId, now: datetime, lifetime: timedelta, random: Random
) -> MintedKey:
    """Return a new key that only `executor` can run."""
    expires = (now + lifetime).replace(microsecond=0)
    return MintedKey(expires, executor, f"{random.getrandbits(SERIAL_BITS):024x}")


__all__ = [
    "CallerKey",
    "KEY_HELP",
    "Key",
    "MintedKey",
    "home_data_centre",
    "mint_key",
    "parse_key",
]
