"""Read log lines of hosts from files."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from brasstray.trace.errors import UnreadableLogError
from brasstray.trace.log_line import MESSAGE_PREFIX, LogLine

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of all files, sorted by time; raise UnreadableLogError.

    Lines that no host wrote, such as those of a collector or a runtime, are skipped.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                lines.extend(_parse_lines(file, path.stem))
        except OSError as error:
            raise UnreadableLogError(f"{path}: {error.strerror}") from error
    lines.sort(key=lambda line: line.at)
    return lines


def _parse_lines(texts: Iterable[str], file_name: str) -> Iterable[LogLine]:
    for text in texts:
        line = parse_line(text, file_name)
        if line is not None:
            yield line


def parse_line(text: str, file_name: str) -> LogLine | None:
    """Parse the log line in `text`; return None if no host wrote it.

    A collector may put the time in seconds and the host's name in front. Without them,
    `file_name` is used as the host's name.
    """
    prefix, brace, rest = text.partition("{")
    try:
        fields = json.loads(brace + rest)
    except ValueError:
        return None
    kind = str(fields.get("message_type", ""))
    if not kind.startswith(MESSAGE_PREFIX):
        return None
    at, host = _parse_collector_prefix(prefix.split())
    if at is None:
        stamp = fields.get("timestamp")
        at = float(stamp) if isinstance(stamp, (int, float)) else 0.0
    return LogLine(at, host or file_name, kind.removeprefix(MESSAGE_PREFIX), fields)


def _parse_collector_prefix(words: list[str]) -> tuple[float | None, str | None]:
    if len(words) < 2:
        return None, None
    try:
        return float(words[0]), words[1]
    except ValueError:
        return None, None


__all__ = ["parse_line", "read_logs"]
