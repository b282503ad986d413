"""Check that nothing is left to be imported while a host serves."""

from __future__ import annotations

import subprocess
import sys

LOADED_LATER = """
import sys
from brasstray.daemon import pool_daemon
before = set(sys.modules)
from brasstray.host.host_status import host_status
print(*sorted(name.partition(".")[0] for name in set(sys.modules) - before))
print("pydantic" in sys.modules)
"""


def test_a_host_has_all_it_needs_before_it_is_asked_for_its_status():
    # Seen: two hosts, asked one after the other, both said that they own the pool.
    # The first request for a host's status loaded pydantic and built models, 0.1 s of
    # processor time on the host's loop and 0.5 s beside twelve busy processes. The
    # owner was silent for longer than 0.4 s, so the other host took its pool.
    # Proved by: what the first request still loads, in a process of its own.
    command = [sys.executable, "-c", LOADED_LATER]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert done.stdout.splitlines() == ["", "False"]
