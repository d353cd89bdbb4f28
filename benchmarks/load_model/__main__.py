"""Compare ways of choosing an upstream in the model of the load.

``python -m benchmarks.load_model [--seeds N] [--plot FILE]``
"""

import argparse
from pathlib import Path
from statistics import mean

from benchmarks.load_model import PATTERNS, POLICIES, LoadModel, ModelSettings
from benchmarks.reporting import report


def measure(pattern: str, policy: str, seeds: int) -> dict[str, float]:
    """Return the means over some seeds of what clients saw."""
    settings = ModelSettings()
    in_aim, served, failed = [], [], []
    for seed in range(seeds):
        model = LoadModel(settings, policy, seed)
        PATTERNS[pattern].apply(model)
        result = model.run()
        in_aim.append(result.share_within(settings.aim_seconds))
        served.append(len(result.latencies) / max(1, result.sent_requests))
        failed.append(float(result.failed_requests))
    return {"in_aim": mean(in_aim), "served": mean(served), "failed": mean(failed)}


def plot_shares(table: dict[str, dict[str, float]], file: Path) -> None:
    """Draw the share in aim by pattern and way."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(11, 4))
    for position, way in enumerate(POLICIES):
        places = [number + position * 0.16 for number in range(len(table))]
        axes.bar(places, [row[way] for row in table.values()], 0.15, label=way)
    axes.set_xticks([number + 0.32 for number in range(len(table))], list(table))
    axes.set_ylim(0.8, 1.0)
    axes.set_ylabel("share of requests in aim")
    axes.legend(ncol=len(POLICIES), loc="lower center")
    figure.tight_layout()
    figure.savefig(file)


def main() -> None:
    """Measure every way against every pattern and report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    table = {}
    for pattern in PATTERNS:
        measured = {way: measure(pattern, way, options.seeds) for way in POLICIES}
        table[pattern] = {way: values["in_aim"] for way, values in measured.items()}
        for way, values in measured.items():
            rounded = {key: round(value, 4) for key, value in values.items()}
            report("load-model", pattern=pattern, way=way, seeds=options.seeds, **rounded)
    if options.plot is not None:
        plot_shares(table, options.plot)


if __name__ == "__main__":
    main()
