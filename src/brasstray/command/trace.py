"""Explain from the logs of all hosts how a request ended."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from brasstray.command.exit_status import ExitStatus
from brasstray.command.options import Json
from brasstray.trace.errors import UnknownJobError, UnreadableLogError
from brasstray.trace.log_reader import read_logs
from brasstray.trace.trace import trace_job

if TYPE_CHECKING:
    from brasstray.trace.log_line import LogLine
    from brasstray.trace.trace import Trace


def trace(
    job: Annotated[str, typer.Argument(help="The request's id.")],
    files: Annotated[list[Path], typer.Argument(help="Log files of all hosts.")],
    as_json: Json = False,
) -> None:
    """Print what all hosts logged of a request, and the line that decided it."""
    try:
        result = trace_job(job, read_logs(files))
    except UnreadableLogError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitStatus.BAD_USAGE) from error
    except UnknownJobError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitStatus.FAILED) from error
    typer.echo(json.dumps(_as_json(result)) if as_json else _format_text(result))


def _format_text(result: Trace) -> str:
    rows = [
        f"{'*' if line is result.cause.line else ' '} {_format_line(line)}"
        for line in result.timeline
    ]
    if result.cause.line is not None and result.cause.line not in result.timeline:
        rows.append(f"* {_format_line(result.cause.line)}")
    rows.append(f"cause: {result.cause.meaning}")
    if result.dropped:
        rows.append(
            f"{result.dropped} log lines were dropped; some may be missing here"
        )
    return "\n".join(rows)


def _format_line(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={_format_value(v)}" for name, v in line.displayed_fields().items()
    )
    return f"{line.at:.3f} {line.host} {line.kind} {fields}"


def _format_value(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def _as_json(result: Trace) -> dict[str, object]:
    deciding = result.cause.line
    return {
        "job": result.job,
        "lines": [_line_as_json(line) for line in result.timeline],
        "cause": {
            "line": None if deciding is None else _line_as_json(deciding),
            "meaning": result.cause.meaning,
        },
        "dropped": result.dropped,
    }


def _line_as_json(line: LogLine) -> dict[str, object]:
    return {
        "at": line.at,
        "host": line.host,
        "kind": line.kind,
        **line.displayed_fields(),
    }


__all__ = ["trace"]
