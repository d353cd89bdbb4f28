"""Broken flows, imbalance and control bytes by policy and kind of change.

Run with ``python -m benchmarks.flows_broken [--small]``; prints one JSON line for each policy,
deployment and kind of change.
"""

import argparse
import json
import time
from collections.abc import Callable
from functools import partial

from benchmarks.flow_policies import POLICIES, Policy
from benchmarks.flows_trial import (
    LOSS_DETECTION_SECONDS,
    MAX_UPDATE_DELAY_SECONDS,
    STENCILBAY,
    VANDERMEULEN,
    Deployment,
    Trial,
)
from chicorypost.base import Instant, ServiceId, UpstreamId, UpstreamState

WARM_UP_SECONDS = 5.0
OBSERVATION_SECONDS = 15.0
REPLACEMENT_SECONDS = 4.0
SMALL_SCALE = 0.05


def first_service(trial: Trial) -> str:
    """Return the name of the deployment's first service."""
    return next(iter(trial.deployment.services))


def join_upstream(trial: Trial) -> None:
    """Add one upstream to the first service."""
    service = first_service(trial)
    number = trial.deployment.services[service]
    trial.change_upstreams((trial.make_upstream(service, number),))
    trial.run(OBSERVATION_SECONDS)


def drain_upstream(trial: Trial) -> None:
    """Drain one upstream of the first service."""
    trial.change_upstreams((trial.make_upstream(first_service(trial), 0, UpstreamState.DRAINING),))
    trial.run(OBSERVATION_SECONDS)


def replace_balancers(trial: Trial) -> None:
    """Replace every balancer, one after another, while an upstream drains."""
    draining = trial.make_upstream(first_service(trial), 0, UpstreamState.DRAINING)
    trial.change_upstreams((draining,))
    trial.run(2.0)
    for number, name in enumerate(list(trial.balancer_data_centres)):
        trial.add_balancer(f"n{number:02}", trial.balancer_data_centres[name])
        trial.run(REPLACEMENT_SECONDS / 2)
        trial.remove_balancer(name)
        trial.run(REPLACEMENT_SECONDS / 2)


def change_configuration(trial: Trial) -> None:
    """Add a service; each balancer applies it after a random delay of its own."""
    services = dict(trial.document.services)
    spec = services[ServiceId(first_service(trial))].model_copy(update={"addresses": ()})
    services[ServiceId("new")] = spec
    document = trial.document.model_copy(update={"services": services})
    for balancer in trial.balancer_data_centres:
        apply = partial(trial.policy.apply_configuration, balancer, document)
        delay = trial.rng.uniform(0, MAX_UPDATE_DELAY_SECONDS)
        trial.schedule_action(delay, partial(apply, Instant(trial.now + delay)))
    trial.run(OBSERVATION_SECONDS)


def lose_one_balancer(trial: Trial) -> None:
    """Crash one balancer while an upstream drains."""
    trial.change_upstreams((trial.make_upstream(first_service(trial), 0, UpstreamState.DRAINING),))
    trial.run(5.0)
    trial.lose_balancer(next(iter(trial.balancer_data_centres)), LOSS_DETECTION_SECONDS)
    trial.run(OBSERVATION_SECONDS)


def lose_upstream(trial: Trial) -> None:
    """Remove one upstream without draining it."""
    trial.change_upstreams((), (UpstreamId(f"{first_service(trial)}-0"),))
    trial.run(OBSERVATION_SECONDS)


CHANGES: dict[str, tuple[bool, Callable[[Trial], None]]] = {
    "upstream-joins": (True, join_upstream),
    "upstream-drains": (True, drain_upstream),
    "balancers-replaced": (True, replace_balancers),
    "configuration-changes": (True, change_configuration),
    "balancer-lost": (False, lose_one_balancer),
    "upstream-lost": (False, lose_upstream),
}


def measure(
    deployment: Deployment, policy_type: type[Policy], change: str, seed: int = 1
) -> dict[str, object]:
    """Run one trial of a change and return its figures."""
    is_planned, action = CHANGES[change]
    started = time.process_time()
    trial = Trial(deployment, policy_type, seed)
    trial.run(WARM_UP_SECONDS)
    balance_before = trial.compute_imbalance()
    policy = trial.policy
    bytes_before = sum(policy.sent_bytes.values())
    packets_before, held_before = policy.packet_count, policy.held_packet_count
    dropped_before, changed_at = trial.dropped_packets, trial.now
    action(trial)
    seconds = trial.now - changed_at
    sent = sum(policy.sent_bytes.values()) - bytes_before
    packets = policy.packet_count - packets_before
    draining_upstream = UpstreamId(f"{first_service(trial)}-0")
    has_drain = change in ("upstream-drains", "balancers-replaced", "balancer-lost")
    last_open = (
        max(0.0, trial.last_opened_at[draining_upstream] - changed_at) if has_drain else None
    )
    return {
        "benchmark": "flows_broken",
        "deployment": deployment.name,
        "policy": policy.name,
        "change": change,
        "planned": is_planned,
        "seed": seed,
        "balancers": deployment.balancers,
        "flows": len(trial.flows),
        "new_flows_per_second": deployment.new_flows_per_second,
        "broken_flows": trial.broken_flows,
        "flows_lost_with_upstream": trial.flows_lost_with_upstream,
        "dropped_packets": trial.dropped_packets - dropped_before,
        "packets": packets,
        "asked_packet_share": round((policy.held_packet_count - held_before) / max(1, packets), 5),
        "imbalance_before": round(balance_before, 4),
        "imbalance_after": round(trial.compute_imbalance(), 4),
        "control_bytes_per_second_per_balancer": round(sent / seconds / deployment.balancers, 1),
        "seconds_until_leaving_upstream_gets_no_new_flow": last_open and round(last_open, 2),
        "cpu_seconds": round(time.process_time() - started, 1),
    }


def main() -> None:
    """Measure the selected policies, deployments and kinds of change."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--small", action="store_true", help="measure one deployment, scaled down")
    parser.add_argument("--deployment", choices=("vandermeulen", "stencilbay"))
    parser.add_argument("--policy", choices=[policy.name for policy in POLICIES])
    parser.add_argument("--change", choices=list(CHANGES))
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    deployments = [VANDERMEULEN, STENCILBAY]
    if arguments.small:
        deployments = [VANDERMEULEN.scaled(SMALL_SCALE)]
    for deployment in deployments:
        if arguments.deployment not in (None, deployment.name):
            continue
        for change in [arguments.change] if arguments.change else CHANGES:
            for policy in POLICIES:
                if arguments.policy in (None, policy.name):
                    line = measure(deployment, policy, change, arguments.seed)
                    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
