"""Explore three replicas exhaustively within the given bounds and count the states.

Run with ``python -m benchmarks.consensus_explore --timeouts 1 1 0 --commands 1 --crashes 1``.
"""

import argparse
import json
import time

from chicorypost.consensus.tests.explorer import Bounds, explore


def main() -> None:
    """Print one JSON line with the bounds, the state counts and the duration in seconds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--timeouts", type=int, nargs=3, default=(1, 0, 0))
    parser.add_argument("--commands", type=int, default=2)
    parser.add_argument("--crashes", type=int, default=1)
    parser.add_argument("--max-states", type=int, default=500_000)
    arguments = parser.parse_args()
    bounds = Bounds(
        tuple(arguments.timeouts), arguments.commands, arguments.crashes, arguments.max_states
    )
    started = time.perf_counter()
    figures = explore(bounds)
    seconds = round(time.perf_counter() - started, 1)
    print(
        json.dumps({"benchmark": "consensus_explore", **vars(arguments), **figures, "s": seconds})
    )


if __name__ == "__main__":
    main()
