"""Compare policies for the choice of an upstream in the load simulation.

``python -m benchmarks.load_model [--seeds N] [--large] [--patterns NAME ...] [--plot FILE]``; with
``--copies`` compare ways to treat the copies of an unanswered opening, at 200 instances; with
``--repeats`` ways to treat requests without an answer, at 88 balancers.
"""

import argparse
from pathlib import Path
from statistics import mean

from benchmarks.load_model import (
    COPY_SETTINGS,
    LARGE,
    MEDIUM,
    PATTERNS,
    POLICIES,
    REPEAT_SETTINGS,
    LoadModel,
    ModelSettings,
)
from benchmarks.reporting import report
from chicorypost.cookies import BalancingSettings, CookieSettings

SMALL = ModelSettings()
COPY_PATTERNS = ("calm", "mass-crash", "flap", "late-openings")


def measure(
    pattern: str,
    policy: str,
    seeds: int,
    settings: ModelSettings = SMALL,
    cookie_settings: CookieSettings | None = None,
    balancing: BalancingSettings = BalancingSettings(),  # noqa: B008 (immutable)
) -> dict[str, float]:
    """Return the mean results of the clients over `seeds` runs.

    Returns
    -------
    dict
        `in_aim` is the share of the requests with a response within the latency target
        `aim_seconds`, `served` the share with any response; `late` is the number of requests
        answered after the target, `failed` that of the failed ones and `crossed` that of the flows
        that two upstreams answered, per run; `p99_ms` and `p999_ms` are percentiles of the latency
        in milliseconds, and `imbalance` the requests of the busiest upstream over the mean.
        `resets` counts flows reset for a stalled request, per run, `wrong_resets` those of them
        whose upstream worked, and `reset_share` is their share of the requests.
    """
    rows = []
    for seed in range(seeds):
        model = LoadModel(settings, policy, seed, cookie_settings, balancing)
        PATTERNS[pattern].apply(model)
        result = model.run()
        late = sum(latency > settings.aim_seconds for latency in result.latencies)
        rows.append(
            {
                "in_aim": result.share_within(settings.aim_seconds),
                "served": len(result.latencies) / max(1, result.sent_requests),
                "late": float(late),
                "failed": float(result.failed_requests),
                "crossed": float(result.crossed_flows),
                "p99_ms": 1000 * result.percentile(0.99),
                "p999_ms": 1000 * result.percentile(0.999),
                "imbalance": model.imbalance(),
                "resets": float(result.resets),
                "wrong_resets": float(result.wrong_resets),
                "reset_share": result.resets / max(1, result.sent_requests),
            }
        )
    return {key: mean(row[key] for row in rows) for key in rows[0]}


def measure_copies(pattern: str, way: str, seeds: int) -> dict[str, float]:
    """Return the results of `measure` for a way to treat copies, at 200 instances."""
    return measure(pattern, "product", seeds, LARGE, COPY_SETTINGS[way])


def measure_repeats(pattern: str, way: str, seeds: int) -> dict[str, float]:
    """Return the results of `measure` for a way to treat stalled requests, at 88 balancers."""
    return measure(pattern, "product", seeds, MEDIUM, None, REPEAT_SETTINGS[way])


def plot_shares(table: dict[str, dict[str, float]], file: Path) -> None:
    """Plot the share of requests within the latency target by pattern and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(11, 4))
    for position, policy in enumerate(POLICIES):
        places = [number + position * 0.16 for number in range(len(table))]
        axes.bar(places, [row[policy] for row in table.values()], 0.15, label=policy)
    axes.set_xticks([number + 0.32 for number in range(len(table))], list(table))
    axes.set_ylim(0.8, 1.0)
    axes.set_ylabel("share of requests in aim")
    axes.legend(ncol=len(POLICIES), loc="lower center")
    figure.tight_layout()
    figure.savefig(file)


def main() -> None:
    """Measure every policy with every pattern and report the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--large", action="store_true", help="200 instances in place of 21")
    parser.add_argument("--copies", action="store_true")
    parser.add_argument("--repeats", action="store_true")
    parser.add_argument("--patterns", nargs="+", choices=PATTERNS, default=list(PATTERNS))
    options = parser.parse_args()
    if options.copies:
        for pattern in COPY_PATTERNS:
            for way in COPY_SETTINGS:
                values = measure_copies(pattern, way, options.seeds)
                rounded = {key: round(value, 4) for key, value in values.items()}
                report("load-model-copies", pattern=pattern, way=way, **rounded)
        return
    if options.repeats:
        for pattern in options.patterns:
            for way in REPEAT_SETTINGS:
                values = measure_repeats(pattern, way, options.seeds)
                rounded = {key: round(value, 4) for key, value in values.items()}
                report("load-model-repeats", pattern=pattern, way=way, **rounded)
        return
    table = {}
    settings = LARGE if options.large else SMALL
    for pattern in options.patterns:
        measured = {
            policy: measure(pattern, policy, options.seeds, settings) for policy in POLICIES
        }
        table[pattern] = {policy: values["in_aim"] for policy, values in measured.items()}
        for policy, values in measured.items():
            rounded = {key: round(value, 4) for key, value in values.items()}
            report("load-model", pattern=pattern, way=policy, seeds=options.seeds, **rounded)
    if options.plot is not None:
        plot_shares(table, options.plot)


if __name__ == "__main__":
    main()
