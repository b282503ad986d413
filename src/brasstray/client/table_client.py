"""Read and change the operators' table over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from brasstray.client.errors import ClientError, UnreachableError
from brasstray.table.errors import TableConflictError
from brasstray.table.table import Table

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from brasstray.client.client import Client
    from brasstray.clock.clock import Clock
    from brasstray.table.row import TableRow

TOKEN_BITS = 64
MAX_ATTEMPTS = 3


class TableClient:
    """Read the table, and change it exactly once even if replies are lost."""

    def __init__(self, client: Client, clock: Clock, random: Random) -> None:
        self._client = client
        self._clock = clock
        self._random = random

    async def read(self) -> Table:
        """Return the table in force on the host that answers."""
        status, page = await self._client.call_json("GET", "/v1/table")
        _check_status(status, page)
        return Table.model_validate(page)

    async def history(self) -> list[Table]:
        """Return every version, oldest first."""
        status, page = await self._client.call_json("GET", "/v1/table/history")
        _check_status(status, page)
        return [Table.model_validate(item) for item in page]

    async def versions(self) -> dict[str, int | None]:
        """Return the version in force on each host, None for hosts without a reply."""
        status, page = await self._client.call_json("GET", "/v1/table/hosts")
        _check_status(status, page)
        versions: dict[str, int | None] = page
        return versions

    async def change(
        self, edit: Callable[[list[TableRow]], list[TableRow]], based_on: Table
    ) -> Table:
        """Apply `edit` to the rows of `based_on` and return the new table.

        Raise TableConflictError if the table was changed since `based_on`. After a lost
        reply the request is retried with the same token, by which the host recognizes
        a change that it has already applied. Raise UnreachableError if every
        try fails; the change may have been applied.
        """
        wanted = Table(
            version=based_on.version + 1,
            rows=edit(based_on.rows),
            author=self._client.caller,
            changed=self._clock.now(),
            token=f"{self._random.getrandbits(TOKEN_BITS):016x}",
        )
        body = wanted.model_dump_json().encode()
        for _ in range(MAX_ATTEMPTS):
            try:
                status, page = await self._client.call_json("PUT", "/v1/table", body)
            except UnreachableError:
                continue
            if status == 503:
                continue
            if status == 409:
                raise TableConflictError(Table.model_validate(page["current"]))
            _check_status(status, page)
            return Table.model_validate(page)
        raise UnreachableError(
            f"not confirmed; check the table history for your version {wanted.version}"
        )


def _check_status(status: int, page: Any) -> None:
    if status != 200:
        raise ClientError(f"{status}: {json.dumps(page)}")


__all__ = ["TableClient"]
