"""Overload of the upstreams of both deployments: ``python -m benchmarks.dispatch_overload``.

Prints one JSON line per deployment, policy and load: goodput (requests answered by their deadline),
p99 latency of these per priority, imbalance, and the number of requests above the slots. Time is
simulated. An upstream processes as many requests at full speed as it has slots, shares its capacity
among more, and stops an exchange at its deadline.
"""

import argparse
import json
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from benchmarks.dispatch_policies import (
    WARM_UP_SECONDS,
    DirectChoicePolicy,
    DispatcherPolicy,
    EventQueue,
    Request,
    make_upstreams,
)
from chicorypost.configuration import Priority

DEPLOYMENTS = {
    "vandermeulen-ordering": (20, 7, 3),
    "vandermeulen-intake": (20, 3, 3),
    "stencilbay-orders": (20, 7, 2),
    "stencilbay-artwork": (20, 4, 2),
}
PRIORITY_SHARES = {Priority.CONFIRMATION: 0.3, Priority.URGENT: 0.3, Priority.ORDINARY: 0.4}
DEADLINE_SECONDS = {Priority.CONFIRMATION: 1.0, Priority.URGENT: 0.5, Priority.ORDINARY: 2.0}
MEAN_SERVICE_SECONDS = 0.05
TICK_SECONDS = 0.01
POLICIES: dict[str, Callable[..., Any]] = {
    "chicorypost": DispatcherPolicy,
    "no-early-refusal": partial(DispatcherPolicy, refuses_early=False),
    "random-choice": DirectChoicePolicy,
    "least-loaded-stale-1s": partial(DirectChoicePolicy, report_interval_seconds=1.0),
}


class OverloadRun:
    """Simulation of one policy under one load."""

    def __init__(self, policy, balancers, upstreams, slots, load, seconds, seed):
        self.random = Random(seed)
        self.slots, self.seconds, self.load = slots, seconds, load
        self.capacity = upstreams * slots / MEAN_SERVICE_SECONDS
        self.event_queue = EventQueue()
        self.running_exchanges: dict[str, dict[str, list]] = {
            u.upstream: {} for u in make_upstreams(upstreams, slots)
        }
        self.schedule_versions = dict.fromkeys(self.running_exchanges, 0)
        self.last_updated_at = dict.fromkeys(self.running_exchanges, WARM_UP_SECONDS)
        self.latencies, self.offered_counts = defaultdict(list), defaultdict(int)
        self.starts_above_slots = self.max_above_slots = 0
        self.imbalances = []
        upstream_records = make_upstreams(upstreams, slots)
        self.policy = POLICIES[policy](
            balancers, upstream_records, self.random, self.start_exchange, self.record_request_end
        )

    def start_exchange(self, request, upstream, deadline, now):
        """Start an exchange at an upstream and schedule its deadline."""
        self._update_remaining_work(upstream, now)
        work = self.random.expovariate(1 / MEAN_SERVICE_SECONDS)
        self.running_exchanges[upstream][request.name] = [request, work]
        excess = len(self.running_exchanges[upstream]) - self.slots
        if excess > 0:
            self.starts_above_slots += 1
            self.max_above_slots = max(self.max_above_slots, excess)
        self.event_queue.push_event(deadline, ("deadline", upstream, request.name))
        self._schedule_next_end(upstream, now)

    def record_request_end(self, request, is_answered, now):
        """Record the latency of a request that is answered by its deadline."""
        if is_answered and now <= request.deadline:
            self.latencies[request.priority].append(now - request.arrived_at)

    def _processing_rate(self, upstream):
        return min(1.0, self.slots / max(1, len(self.running_exchanges[upstream])))

    def _update_remaining_work(self, upstream, now):
        processed = (now - self.last_updated_at[upstream]) * self._processing_rate(upstream)
        for item in self.running_exchanges[upstream].values():
            item[1] -= processed
        self.last_updated_at[upstream] = now

    def _schedule_next_end(self, upstream, now):
        self.schedule_versions[upstream] += 1
        if self.running_exchanges[upstream]:
            min_work = min(item[1] for item in self.running_exchanges[upstream].values())
            at = now + max(0.0, min_work) / self._processing_rate(upstream)
            self.event_queue.push_event(at, ("end", upstream, self.schedule_versions[upstream]))

    def _handle_arrival(self, number, now):
        priority = self.random.choices(list(PRIORITY_SHARES), list(PRIORITY_SHARES.values()))[0]
        self.offered_counts[priority] += 1
        deadline = now + DEADLINE_SECONDS[priority]
        entry = self.random.randrange(20)
        self.policy.accept_request(Request(f"r{number}", priority, now, deadline, entry), now)
        rate = self.capacity * self.load
        at = now + self.random.expovariate(rate)
        if at < WARM_UP_SECONDS + self.seconds:
            self.event_queue.push_event(at, ("arrive", number + 1))

    def _end_exchange(self, upstream, version, now):
        if version != self.schedule_versions[upstream]:
            return
        self._update_remaining_work(upstream, now)
        exchanges = self.running_exchanges[upstream]
        name = min(exchanges, key=lambda key: exchanges[key][1])
        request, _ = exchanges.pop(name)
        self._schedule_next_end(upstream, now)
        self.policy.end_exchange(request, upstream, True, now)

    def _handle_deadline(self, upstream, name, now):
        if name not in self.running_exchanges[upstream]:
            return
        self._update_remaining_work(upstream, now)
        request, _ = self.running_exchanges[upstream].pop(name)
        self._schedule_next_end(upstream, now)
        self.policy.end_exchange(request, upstream, False, now)

    def run(self):
        """Run the simulation and return its figures."""
        self.event_queue.push_event(WARM_UP_SECONDS, ("arrive", 1))
        self.event_queue.push_event(WARM_UP_SECONDS, ("tick",))
        until = WARM_UP_SECONDS + self.seconds + max(DEADLINE_SECONDS.values())
        while self.event_queue.items:
            now, item = self.event_queue.pop_event()
            if now > until:
                break
            match item:
                case ("arrive", number):
                    self._handle_arrival(number, now)
                case ("end", upstream, version):
                    self._end_exchange(upstream, version, now)
                case ("deadline", upstream, name):
                    self._handle_deadline(upstream, name, now)
                case ("tick",):
                    self._record_imbalance(now)
                    self.policy.handle_deadlines(now)
                    self.event_queue.push_event(now + TICK_SECONDS, item)
        return self._summarise()

    def _record_imbalance(self, now):
        counts = [len(running) for running in self.running_exchanges.values()]
        is_steady = WARM_UP_SECONDS + 1 < now < WARM_UP_SECONDS + self.seconds
        if is_steady and sum(counts):
            self.imbalances.append(max(counts) * len(counts) / sum(counts))

    def _summarise(self):
        answered = sum(map(len, self.latencies.values()))
        by_priority = {}
        for priority, offered in self.offered_counts.items():
            values = sorted(self.latencies[priority])
            p99 = values[int(0.99 * (len(values) - 1))] if values else None
            by_priority[priority.value] = {
                "answered_share": round(len(values) / offered, 3),
                "p99_ms": round(p99 * 1000) if p99 is not None else None,
            }
        return {
            "goodput_of_capacity": round(answered / self.seconds / self.capacity, 3),
            "imbalance": round(sum(self.imbalances) / max(1, len(self.imbalances)), 3),
            "starts_above_slots": self.starts_above_slots,
            "most_above_slots": self.max_above_slots,
            "classes": by_priority,
        }


def main():
    """Measure all deployments, policies and loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for deployment, (balancers, upstreams, slots) in DEPLOYMENTS.items():
        for policy in POLICIES:
            for load in (0.5, 1.0, 2.0, 4.0):
                sizes = (balancers, upstreams, slots)
                run = OverloadRun(policy, *sizes, load, options.seconds, options.seed)
                figures = run.run()
                names = {"deployment": deployment, "policy": policy, "load": load}
                print(json.dumps({"benchmark": "dispatch_overload", **names, **figures}))


if __name__ == "__main__":
    main()
