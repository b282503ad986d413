"""Check every variant of the job protocol and print the result."""

from __future__ import annotations

import sys

from minicheck import check_safety

from spec.job_protocol import model
from spec.variant import Variant

MAX_STATES = 3_000_000


def main() -> int:
    """Return 0 if the design holds and every broken variant is refuted."""
    status = 0
    for variant in Variant:
        result = check_safety(model(variant), max_states=MAX_STATES)
        refuted = [n for n, p in result["properties"].items() if p["holds"] is False]
        held = result["exhaustive"] and not refuted
        verdict = "holds" if held else f"refuted: {', '.join(refuted) or 'undecided'}"
        print(f"{variant.value}: {result['reachable_states']} states, {verdict}")
        if refuted:
            trace = result["properties"][refuted[0]]["counterexample"]
            print("   " + "; ".join(str(step["label"]) for step in trace[1:]))
        if held != (variant is Variant.AS_DESIGNED):
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
