"""Plot of broken flows and imbalance over time through a rolling replacement of every balancer.

Run with ``python -m benchmarks.flows_plot FILE.png [--small]``.
"""

import argparse
from pathlib import Path

import matplotlib

from benchmarks.flow_policies import POLICIES
from benchmarks.flows_broken import SMALL_SCALE, WARM_UP_SECONDS, replace_balancers
from benchmarks.flows_trial import VANDERMEULEN, Deployment, Trial

matplotlib.use("Agg")
from matplotlib import pyplot


def plot(deployment: Deployment, path: Path) -> None:
    """Run every policy and write the plot."""
    figure, (above, below) = pyplot.subplots(2, 1, figsize=(9, 7), sharex=True)
    for policy in POLICIES:
        trial = Trial(deployment, policy)
        trial.run(WARM_UP_SECONDS)
        replace_balancers(trial)
        times = [sample.at for sample in trial.samples]
        above.plot(
            times, [max(sample.broken_flows, 0.5) for sample in trial.samples], label=policy.name
        )
        below.plot(times, [sample.imbalance for sample in trial.samples], label=policy.name)
    above.set_ylabel("broken flows, cumulative (0 drawn as 0.5)")
    above.set_yscale("log")
    above.legend()
    above.set_title(f"{deployment.name}: one upstream drains, every balancer is replaced")
    below.set_ylabel("connections, max/mean over ready upstreams")
    below.set_xlabel("seconds")
    below.set_ylim(1.0, 1.6)
    below.axhline(1.10, color="grey", linewidth=0.8, linestyle="--")
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Write the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("path", type=Path, help="PNG file to write")
    parser.add_argument("--small", action="store_true", help="a fraction of the size")
    arguments = parser.parse_args()
    deployment = VANDERMEULEN.scaled(SMALL_SCALE) if arguments.small else VANDERMEULEN
    plot(deployment, arguments.path)


if __name__ == "__main__":
    main()
