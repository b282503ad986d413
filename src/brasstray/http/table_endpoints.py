"""Serve the operators' table over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import ValidationError

from brasstray.http.exchange import HttpResponse, json_response
from brasstray.job.request import format_validation_errors
from brasstray.table.errors import TableConflictError, TableUnavailableError
from brasstray.table.table import Table

if TYPE_CHECKING:
    from brasstray.entry.table_cache import TableCache


class TableEndpoints:
    """Handle HTTP requests for the table."""

    def __init__(self, tables: TableCache) -> None:
        self._tables = tables

    async def respond(self, method: str, page: str, body: bytes) -> HttpResponse:
        """Return the response for `page`, a path below /v1/table."""
        match method, page:
            case "GET", "":
                return _page(self._tables.table)
            case "GET", "hosts":
                return json_response(200, await self._tables.versions())
            case "GET", "history":
                return await self._history()
            case "PUT", "":
                return await self._change(body)
        return json_response(404, {"detail": "see GET and PUT of /v1/table"})

    async def _history(self) -> HttpResponse:
        try:
            tables = await self._tables.history()
        except TableUnavailableError as error:
            return json_response(503, {"detail": str(error)})
        return json_response(200, [t.model_dump(mode="json") for t in tables])

    async def _change(self, body: bytes) -> HttpResponse:
        try:
            wanted = Table.model_validate_json(body)
        except ValidationError as error:
            return json_response(
                400, {"detail": format_validation_errors(error.errors())}
            )
        try:
            return _page(await self._tables.change(wanted))
        except TableConflictError as error:
            current = error.current.model_dump(mode="json")
            return json_response(409, {"detail": str(error), "current": current})
        except TableUnavailableError as error:
            return json_response(503, {"detail": str(error)})


def _page(table: Table) -> HttpResponse:
    return HttpResponse(200, table.model_dump_json().encode() + b"\n")


__all__ = ["TableEndpoints"]
