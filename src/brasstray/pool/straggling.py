"""Judge from its progress whether a run is on a slow or stuck minion."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.pool.run_record import RunRecord

# Callers' estimates are off by a factor of about 1.5 either way (standard deviation of
# the logarithm 0.4) and sound minions differ by 1.6. Three times what was expected is
# beyond both together for all but one run in a hundred.
SLOWEST_SOUND_RATIO = 3.0
# Below this the start's own delay is most of what is seen.
SHORTEST_EVIDENCE = timedelta(milliseconds=120)
# A run that has done this share is left to end: starting it again costs more.
FAR_ENOUGH_PERCENT = 70


def straggles(record: RunRecord, now: timedelta) -> bool:
    """Tell whether `record` will take far longer than its kind does."""
    elapsed = now - record.began
    if not record.expected or elapsed < SHORTEST_EVIDENCE:
        return False
    if elapsed < record.expected / 4 or record.percent >= FAR_ENOUGH_PERCENT:
        return False
    whole = elapsed * 100 / max(record.percent, 1)
    return whole > record.expected * SLOWEST_SOUND_RATIO


__all__ = ["straggles"]
