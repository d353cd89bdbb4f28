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
    """Run a rolling replacement under every policy and write the plot."""
    figure, (broken_axes, imbalance_axes) = pyplot.subplots(2, 1, figsize=(9, 7), sharex=True)
    for policy in POLICIES:
        trial = Trial(deployment, policy)
        trial.run(WARM_UP_SECONDS)
        replace_balancers(trial)
        times = [sample.at for sample in trial.samples]
        broken_axes.plot(
            times, [max(sample.broken_flows, 0.5) for sample in trial.samples], label=policy.name
        )
        imbalance_axes.plot(
            times, [sample.imbalance for sample in trial.samples], label=policy.name
        )
    broken_axes.set_ylabel("broken flows, cumulative (0 drawn as 0.5)")
    broken_axes.set_yscale("log")
    broken_axes.legend()
    broken_axes.set_title(f"{deployment.name}: one upstream drains, every balancer is replaced")
    imbalance_axes.set_ylabel("connections, max/mean over ready upstreams")
    imbalance_axes.set_xlabel("seconds")
    imbalance_axes.set_ylim(1.0, 1.6)
    imbalance_axes.axhline(1.10, color="grey", linewidth=0.8, linestyle="--")
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Write the plot to the given file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("path", type=Path, help="PNG file to write")
    parser.add_argument("--small", action="store_true", help="scale the deployment down")
    arguments = parser.parse_args()
    deployment = VANDERMEULEN.scaled(SMALL_SCALE) if arguments.small else VANDERMEULEN
    plot(deployment, arguments.path)


if __name__ == "__main__":
    main()
