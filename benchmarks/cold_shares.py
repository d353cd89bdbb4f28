"""Ways to share the limit of a cold upstream among balancers that know only their number.

``python -m benchmarks.cold_shares [--warmups N]`` counts the flows that a cold upstream gets while
all upstreams of its service are cold and every balancer has flows for it at any time, which is the
worst case.
"""

import argparse
from collections.abc import Callable
from random import Random

from benchmarks.reporting import report
from chicorypost.cookies._cold_starts import SPACING_SECONDS, compute_share

BALANCERS = 109
LIMIT = 5
WARMUP_SECONDS = 2.0
FEED_DELAY_SECONDS = 0.3
"""Balancers learn of the upstream within this time."""

Way = Callable[[int, Random], list[float]]
"""Returns the times of the flows of a balancer that counts so many balancers."""


def _repeat(first: float, interval: float) -> list[float]:
    times = []
    while first < WARMUP_SECONDS:
        times.append(first)
        first += interval
    return times


def send_by_token_bucket(count: int, random: Random) -> list[float]:
    """Send a flow as soon as a bucket of one token, which is full at first, allows it."""
    return _repeat(random.uniform(0.0, FEED_DELAY_SECONDS), count / LIMIT)


def send_at_random_phase(count: int, random: Random) -> list[float]:
    """Send flows at the mean rate of the selection, in a random phase."""
    interval = SPACING_SECONDS / compute_share(LIMIT, count)
    return _repeat(random.uniform(0.0, interval), interval)


def send_if_selected(count: int, random: Random) -> list[float]:
    """Send a flow every `SPACING_SECONDS` if the balancer is selected (the product)."""
    if random.random() >= compute_share(LIMIT, count):
        return []
    return _repeat(random.uniform(0.0, FEED_DELAY_SECONDS), SPACING_SECONDS)


WAYS: dict[str, Way] = {
    "token-bucket": send_by_token_bucket,
    "random-phase": send_at_random_phase,
    "selection": send_if_selected,
}
CASES: dict[str, list[int]] = {
    "agreed": [BALANCERS] * BALANCERS,
    # A quarter of the balancers has only the control instance that is cut off with them.
    "cut-off": [27] * 27 + [BALANCERS] * (BALANCERS - 27),
    # Each half of the control instances counts only its half of the balancers.
    "halves": [54] * 54 + [55] * 55,
}
"""How many balancers each balancer counts."""


def count_most_in_a_second(times: list[float]) -> int:
    """Return the highest number of flows in any second."""
    return max((sum(start <= at < start + 1.0 for at in times) for start in times), default=0)


def measure(way: Way, counts: list[int], warmups: int, seed: int = 1) -> dict[str, float]:
    """Return the figures of many warm-ups of one upstream.

    Returns
    -------
    dict
        `most` flows in any second of any warm-up, the share `exceeded` of the warm-ups with more
        than the limit, and the mean `flows_per_second` of an upstream.
    """
    random = Random(seed)
    most, exceeded, flows = 0, 0, 0
    for _ in range(warmups):
        times = [at for count in counts for at in way(count, random)]
        highest = count_most_in_a_second(times)
        most, exceeded, flows = max(most, highest), exceeded + (highest > LIMIT), flows + len(times)
    return {
        "most": most,
        "exceeded": exceeded / warmups,
        "flows_per_second": round(flows / warmups / WARMUP_SECONDS, 3),
    }


def main() -> None:
    """Print the figures of each way in each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--warmups", type=int, default=20_000)
    options = parser.parse_args()
    for case, counts in CASES.items():
        for name, way in WAYS.items():
            figures = measure(way, counts, options.warmups)
            report("cold_shares", case=case, way=name, **figures)


if __name__ == "__main__":
    main()
