"""Serve and call HTTP/1.1 with the standard library only."""

from __future__ import annotations

import asyncio
import json


class Request:
    """Hold one request as it was read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.headers = headers
        self.body = body

    def json(self):
        """Decode the body."""
        return json.loads(self.body or b"{}")


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the stream."""
    first = await reader.readline()
    if not first.strip():
        return None
    headers = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").strip(), headers


class Server:
    """Answer requests on one port with `handle(request) -> (status, body)`.

    `handle` may return None to leave the request without an answer; the connection
    then stays open and silent.
    """

    def __init__(self, handle):
        self._handle = handle
        self._writers = set()
        self.port = 0

    async def start(self, address="127.0.0.1"):
        """Listen on a free port of `address`."""
        server = await asyncio.start_server(self._serve, address, 0)
        self._server = server
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                found = await self._handle(Request(method, target, headers, body))
                if found is None:
                    await asyncio.sleep(3_600)
                status, content = found
                text = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class BrokenError(Exception):
    """The connection ended before a complete answer had arrived."""


async def call(port, method, target, body=None, deadline_ms=1_500, host="h.example"):
    """Return status and decoded body; raise BrokenError or TimeoutError."""
    content = b"" if body is None else json.dumps(body).encode()
    request = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
        f"X-Deadline: {deadline_ms}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    ).encode() + content
    async with asyncio.timeout(deadline_ms / 1_000):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError as error:
            raise BrokenError(f"no connection: {error!r}") from error
        try:
            writer.write(request)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise BrokenError("closed without an answer")
            first, headers = head
            size = int(headers.get("content-length", 0))
            text = await reader.readexactly(size)
            return int(first.split()[1]), json.loads(text or b"{}")
        except (OSError, asyncio.IncompleteReadError) as error:
            raise BrokenError(repr(error)) from error
        finally:
            writer.close()
