"""Time until a draining upstream gets no new work: ``python -m benchmarks.membership_drain``.

Prints one JSON line per number of balancers and share of lost messages: the time until no balancer
shows the upstream as ready, at most and on average over the seeds. Time is fake.
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
    """Return the time from the word of draining until no balancer gives new work."""
    random = Random(seed)
    share = 0.0

    def route(sender, to, message):
        return () if random.random() < share else (random.uniform(0.0005, 0.02),)

    view = make_view(count)
    loop = MachineLoop(route)
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
        random.choice(view.members).instance,
        AnnouncementReceived(upstream, ANNOUNCEMENT_VALID_SECONDS),
    )
    loop.run_until(SETTLE_SECONDS)
    share = loss
    draining = msgspec.structs.replace(upstream, state=UpstreamState.DRAINING)
    loop.deliver_event(
        random.choice(view.members).instance,
        AnnouncementReceived(draining, ANNOUNCEMENT_VALID_SECONDS),
    )
    while loop.now < SETTLE_SECONDS + DRAIN_LIMIT_SECONDS:
        if all(directory.find_upstream(upstream.upstream) != upstream for directory in directories):
            break
        loop.run_until(loop.now + STEP_SECONDS)
    return loop.now - SETTLE_SECONDS


def main() -> None:
    """Run all sizes and losses."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args()
    for count in (7, 20, 200):
        for loss in (0.0, 0.1, 0.5):
            times = [measure_drain_seconds(count, loss, seed) for seed in range(options.seeds)]
            figures = {"max_seconds": round(max(times), 2), "seeds": options.seeds}
            figures["mean_seconds"] = round(sum(times) / len(times), 2)
            names = {"benchmark": "membership_drain", "instances": count, "loss": loss}
            print(json.dumps({**names, **figures}))


if __name__ == "__main__":
    main()
