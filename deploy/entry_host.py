"""Start a host from a checkout, without installing the project itself."""

from __future__ import annotations

import sys
from pathlib import Path

# The HTTP client imports trio where it happens to be installed; this process runs on
# asyncio only. Left out, a host is 3.7 MB smaller (resident, measured after start).
sys.modules.setdefault("trio", None)  # type: ignore[arg-type]
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from brasstray.daemon.pool_main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
