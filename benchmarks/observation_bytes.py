"""Bytes of shared observations by the way in which reports reach the control instances.

``python -m benchmarks.observation_bytes [--seeds N]`` runs the load simulation with 109 balancers,
75 upstreams and 8 control instances while a seventh of the upstreams hang, crash or are slow, and
counts the bytes of reports, of pages with judgements, and between control instances in the busiest
second. Frames are counted with the headers of IP and TCP, without the other messages of the feed.
"""

import argparse
from dataclasses import replace

from benchmarks.load_model import LARGE, PATTERNS, LoadModel
from benchmarks.load_model.observations import CONTROLS
from benchmarks.reporting import report
from chicorypost.observations import ObservationSettings

BUILD_FARM = replace(LARGE, balancers=109, data_centres=4, upstreams=75, rate=330.0)
TARGETS = {"first-two": 2, "every-instance": len(CONTROLS), "one-with-exchange": 1}
"""Control instances that get each report. With an exchange each of them passes the reports of its
balancers on to all others, and all of them judge and send pages."""


def measure(way: str, pattern: str, seed: int) -> dict[str, int]:
    """Return the bytes in the busiest second of one run."""
    targets = TARGETS[way]
    judging = 2 if way == "first-two" else len(CONTROLS)
    model = LoadModel(
        BUILD_FARM, "shared", seed, observation_settings=ObservationSettings(report_targets=targets)
    )
    PATTERNS[pattern].apply(model)
    model.run()
    shared = model.shared
    assert shared is not None
    seconds = range(int(BUILD_FARM.seconds) + 1)
    balancer_bytes = [
        shared.report_bytes[number, second] + judging * shared.page_bytes[second]
        for number in range(BUILD_FARM.balancers)
        for second in seconds
    ]
    is_exchanged = way == "one-with-exchange"
    # With an exchange a control instance sends its share of the reports to all others.
    control_share = 1 / len(CONTROLS) if is_exchanged else 1.0
    exchange_factor = 2 * (len(CONTROLS) - 1) / len(CONTROLS) if is_exchanged else 0.0
    control_bytes = [
        (control_share + exchange_factor) * shared.reports_by_second[second]
        + BUILD_FARM.balancers * shared.page_bytes[second]
        for second in seconds
    ]
    return {
        "balancer_busiest_second": max(balancer_bytes),
        "balancer_mean": round(sum(balancer_bytes) / len(balancer_bytes)),
        "control_busiest_second": round(max(control_bytes)),
        "judged_upstreams": len(shared.judged),
    }


def main() -> None:
    """Measure every way with every pattern and report the largest figures of the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    for pattern in ("hang", "mass-crash", "slow", "calm"):
        for way in TARGETS:
            rows = [measure(way, pattern, seed) for seed in range(options.seeds)]
            largest = {key: max(row[key] for row in rows) for key in rows[0]}
            report("observation-bytes", pattern=pattern, way=way, seeds=options.seeds, **largest)


if __name__ == "__main__":
    main()
