"""Test that a host imports no further modules once it serves requests."""

from __future__ import annotations

import subprocess
import sys

IMPORTS_OF_STATUS_REQUEST = """
import sys
from brasstray.daemon import pool_daemon
before = set(sys.modules)
from brasstray.host.host_status import host_status
print(*sorted(name.partition(".")[0] for name in set(sys.modules) - before))
print("pydantic" in sys.modules)
"""


def test_the_first_status_request_imports_nothing():
    # The first request for a host's status used to import pydantic and build models,
    # which blocked the event loop for 0.1 s of processor time, or 0.5 s beside twelve
    # busy processes. After 0.4 s of silence another host takes the pool over, so that
    # two hosts reported that they own it. A separate process shows what that request
    # still imports.
    command = [sys.executable, "-c", IMPORTS_OF_STATUS_REQUEST]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert done.stdout.splitlines() == ["", "False"]
