"""Start a host from a checkout, without installing the project itself."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from brasstray.daemon.pool_main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
