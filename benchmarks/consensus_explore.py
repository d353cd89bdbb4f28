"""Explores three replicas exhaustively within the given bounds and counts the states.

Run ``python -m benchmarks.consensus_explore --timeouts 1 1 0 --commands 1 --crashes 1``.
"""

import argparse
import json
import time

from chicorypost.consensus.tests.explorer import Bounds, explore


def main() -> None:
    """Print one JSON line with the bounds, the number of states and the time taken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--timeouts", type=int, nargs=3, default=(1, 0, 0))
    parser.add_argument("--commands", type=int, default=2)
    parser.add_argument("--crashes", type=int, default=1)
    parser.add_argument("--max-states", type=int, default=500_000)
    chosen = parser.parse_args()
    bounds = Bounds(tuple(chosen.timeouts), chosen.commands, chosen.crashes, chosen.max_states)
    started = time.perf_counter()
    found = explore(bounds)
    seconds = round(time.perf_counter() - started, 1)
    print(json.dumps({"benchmark": "consensus_explore", **vars(chosen), **found, "s": seconds}))


if __name__ == "__main__":
    main()
