"""Measure how long a draining upstream still receives new work.

Prints one JSON line per number of balancers and share of lost messages: the maximum and the mean
over the seeds of the time until no balancer lists the upstream as ready. Time is simulated.

Run with ``python -m benchmarks.membership_drain``.
"""

import argparse
import json
from random import Random

import msgspec

from benchmarks.dispatch_policies import FOREVER, make_upstreams, make_view
from benchmarks.machine_loop import MachineLoop
from chicorypost.base import LeaseChanged, UpstreamState, ViewChanged
from chicorypost.upstreams import AnnouncementReceived, DirectorySettings, UpstreamDirectory

STEP_SECONDS = 0.01
SETTLE_SECONDS = 3.0
ANNOUNCEMENT_VALID_SECONDS = 15.0
DRAIN_LIMIT_SECONDS = 20.0


def measure_drain_seconds(count: int, loss: float, seed: int) -> float:
    """Return the seconds from announcing a drain until no balancer lists the upstream as ready."""
    rng = Random(seed)
    current_loss = 0.0

    def choose_delays(sender, to, message):
        return () if rng.random() < current_loss else (rng.uniform(0.0005, 0.02),)

    view = make_view(count)
    loop = MachineLoop(choose_delays)
    directories = []
    for member in view.members:
        directory = UpstreamDirectory(
            DirectorySettings(), member.instance, member.data_centre, loop.now
        )
        directories.append(directory)
        loop.start_instance(member.instance, directory)
        loop.deliver_event(member.instance, ViewChanged(view))
        loop.deliver_event(member.instance, LeaseChanged(FOREVER))
    upstream = make_upstreams(1, 3)[0]
    loop.deliver_event(
        rng.choice(view.members).instance,
        AnnouncementReceived(upstream, ANNOUNCEMENT_VALID_SECONDS),
    )
    loop.run_until(SETTLE_SECONDS)
    current_loss = loss
    draining = msgspec.structs.replace(upstream, state=UpstreamState.DRAINING)
    loop.deliver_event(
        rng.choice(view.members).instance,
        AnnouncementReceived(draining, ANNOUNCEMENT_VALID_SECONDS),
    )
    while loop.now < SETTLE_SECONDS + DRAIN_LIMIT_SECONDS:
        if all(directory.find_upstream(upstream.upstream) != upstream for directory in directories):
            break
        loop.run_until(loop.now + STEP_SECONDS)
    return loop.now - SETTLE_SECONDS


def main() -> None:
    """Measure each combination of balancer count and message loss."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args()
    for count in (7, 20, 200):
        for loss in (0.0, 0.1, 0.5):
            times = [measure_drain_seconds(count, loss, seed) for seed in range(options.seeds)]
            figures = {"max_seconds": round(max(times), 2), "seeds": options.seeds}
            figures["mean_seconds"] = round(sum(times) / len(times), 2)
            labels = {"benchmark": "membership_drain", "instances": count, "loss": loss}
            print(json.dumps({**labels, **figures}))


if __name__ == "__main__":
    main()
