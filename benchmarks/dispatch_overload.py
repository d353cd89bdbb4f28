"""Overload of the upstreams of both deployments: ``python -m benchmarks.dispatch_overload``.

Prints one JSON line per deployment, policy and load: goodput (answered by the deadline), p99 of the
answered ones per class, imbalance and the requests above the slots. Time is fake. An upstream
processes as many requests as it has slots, slows down by sharing when it gets more, and stops at
the deadline of an exchange.
"""

import argparse
import json
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from benchmarks.dispatch_policies import (
    WARM_SECONDS,
    Dispatched,
    Guessing,
    Heap,
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
MIX = {Priority.CONFIRMATION: 0.3, Priority.URGENT: 0.3, Priority.ORDINARY: 0.4}
DEADLINES = {Priority.CONFIRMATION: 1.0, Priority.URGENT: 0.5, Priority.ORDINARY: 2.0}
SERVICE_SECONDS = 0.05
TICK_SECONDS = 0.01
POLICIES: dict[str, Callable[..., Any]] = {
    "chicorypost": Dispatched,
    "no-early-refusal": partial(Dispatched, early=False),
    "random-choice": Guessing,
    "least-loaded-stale-1s": partial(Guessing, reports=1.0),
}


class Run:
    """One policy under one load."""

    def __init__(self, policy, balancers, upstreams, slots, load, seconds, seed):
        self.random = Random(seed)
        self.slots, self.seconds, self.load = slots, seconds, load
        self.capacity = upstreams * slots / SERVICE_SECONDS
        self.heap = Heap()
        self.running: dict[str, dict[str, list]] = {
            u.upstream: {} for u in make_upstreams(upstreams, slots)
        }
        self.versions = dict.fromkeys(self.running, 0)
        self.last = dict.fromkeys(self.running, WARM_SECONDS)
        self.latencies, self.offered = defaultdict(list), defaultdict(int)
        self.above = self.most_above = 0
        self.imbalances = []
        made = make_upstreams(upstreams, slots)
        self.policy = POLICIES[policy](balancers, made, self.random, self.start, self.end)

    def start(self, request, upstream, deadline, now):
        """Begin an exchange at an upstream."""
        self._progress(upstream, now)
        work = self.random.expovariate(1 / SERVICE_SECONDS)
        self.running[upstream][request.name] = [request, work]
        excess = len(self.running[upstream]) - self.slots
        if excess > 0:
            self.above += 1
            self.most_above = max(self.most_above, excess)
        self.heap.push(deadline, ("deadline", upstream, request.name))
        self._schedule(upstream, now)

    def end(self, request, is_answered, now):
        """Count an answered request that is in time."""
        if is_answered and now <= request.deadline:
            self.latencies[request.priority].append(now - request.arrived)

    def _rate(self, upstream):
        return min(1.0, self.slots / max(1, len(self.running[upstream])))

    def _progress(self, upstream, now):
        done = (now - self.last[upstream]) * self._rate(upstream)
        for item in self.running[upstream].values():
            item[1] -= done
        self.last[upstream] = now

    def _schedule(self, upstream, now):
        self.versions[upstream] += 1
        if self.running[upstream]:
            least = min(item[1] for item in self.running[upstream].values())
            at = now + max(0.0, least) / self._rate(upstream)
            self.heap.push(at, ("end", upstream, self.versions[upstream]))

    def _arrival(self, number, now):
        priority = self.random.choices(list(MIX), list(MIX.values()))[0]
        self.offered[priority] += 1
        deadline = now + DEADLINES[priority]
        entry = self.random.randrange(20)
        self.policy.arrive(Request(f"r{number}", priority, now, deadline, entry), now)
        rate = self.capacity * self.load
        at = now + self.random.expovariate(rate)
        if at < WARM_SECONDS + self.seconds:
            self.heap.push(at, ("arrive", number + 1))

    def _end_exchange(self, upstream, version, now):
        if version != self.versions[upstream]:
            return
        self._progress(upstream, now)
        running = self.running[upstream]
        name = min(running, key=lambda key: running[key][1])
        request, _ = running.pop(name)
        self._schedule(upstream, now)
        self.policy.ended(request, upstream, True, now)

    def _deadline(self, upstream, name, now):
        if name not in self.running[upstream]:
            return
        self._progress(upstream, now)
        request, _ = self.running[upstream].pop(name)
        self._schedule(upstream, now)
        self.policy.ended(request, upstream, False, now)

    def run(self):
        """Play the load and return the figures."""
        self.heap.push(WARM_SECONDS, ("arrive", 1))
        self.heap.push(WARM_SECONDS, ("tick",))
        until = WARM_SECONDS + self.seconds + max(DEADLINES.values())
        while self.heap.items:
            now, item = self.heap.pop()
            if now > until:
                break
            match item:
                case ("arrive", number):
                    self._arrival(number, now)
                case ("end", upstream, version):
                    self._end_exchange(upstream, version, now)
                case ("deadline", upstream, name):
                    self._deadline(upstream, name, now)
                case ("tick",):
                    self._sample(now)
                    self.policy.tick(now)
                    self.heap.push(now + TICK_SECONDS, item)
        return self._figures()

    def _sample(self, now):
        counts = [len(running) for running in self.running.values()]
        is_loaded = WARM_SECONDS + 1 < now < WARM_SECONDS + self.seconds
        if is_loaded and sum(counts):
            self.imbalances.append(max(counts) * len(counts) / sum(counts))

    def _figures(self):
        answered = sum(map(len, self.latencies.values()))
        classes = {}
        for priority, offered in self.offered.items():
            values = sorted(self.latencies[priority])
            p99 = values[int(0.99 * (len(values) - 1))] if values else None
            classes[priority.value] = {
                "answered_share": round(len(values) / offered, 3),
                "p99_ms": round(p99 * 1000) if p99 is not None else None,
            }
        return {
            "goodput_of_capacity": round(answered / self.seconds / self.capacity, 3),
            "imbalance": round(sum(self.imbalances) / max(1, len(self.imbalances)), 3),
            "starts_above_slots": self.above,
            "most_above_slots": self.most_above,
            "classes": classes,
        }


def main():
    """Run all deployments, policies and loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for deployment, (balancers, upstreams, slots) in DEPLOYMENTS.items():
        for policy in POLICIES:
            for load in (0.5, 1.0, 2.0, 4.0):
                sizes = (balancers, upstreams, slots)
                run = Run(policy, *sizes, load, options.seconds, options.seed)
                figures = run.run()
                names = {"deployment": deployment, "policy": policy, "load": load}
                print(json.dumps({"benchmark": "dispatch_overload", **names, **figures}))


if __name__ == "__main__":
    main()
