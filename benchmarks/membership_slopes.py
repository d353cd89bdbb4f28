"""Measure the cost of membership and of the upstream directory by size.

Prints one JSON line per number of instances in one data centre, with ten upstreams per instance,
and one per total number of upstreams. Bytes are those of the encoded messages, sent and received;
processor time includes the state machines and the event loop, but not the encoding.

Run with ``python -m benchmarks.membership_slopes``.
"""

import argparse
import json
import time
import tracemalloc
from collections import Counter
from random import Random

from benchmarks.machine_loop import MachineLoop
from chicorypost.base import (
    DataCentreId,
    Endpoint,
    Incarnation,
    InstanceId,
    Instant,
    Member,
    ServiceId,
    Upstream,
    UpstreamId,
    UpstreamState,
    encode,
)
from chicorypost.membership import LeaseMembership, Leave, MembershipSettings
from chicorypost.upstreams import AnnouncementReceived, DirectorySettings, UpstreamDirectory
from chicorypost.upstreams._directory_messages import DirectoryRecord, DirectoryReport
from chicorypost.upstreams._records import RecordStore

UPSTREAMS_PER_INSTANCE = 10
ANNOUNCE_INTERVAL_SECONDS = 5.0
ANNOUNCEMENT_VALID_SECONDS = 15.0
SETTLE_SECONDS = 32.0
LATENCY_SECONDS = 0.001
FULL_SCALE_UPSTREAMS = 7_800


def make_member(number: int, incarnation: int) -> Member:
    """Return a balancer whose name and incarnation (a time in ms) have realistic lengths."""
    name = InstanceId(f"balancer-{number:04d}")
    port = 20_000 + number
    endpoints = Endpoint("10.20.30.40", port), Endpoint("10.20.30.40", port + 1)
    return Member(
        name, Incarnation(1_780_000_000_000 + incarnation), DataCentreId("one"), *endpoints
    )


def make_upstream(number: int, data_centre: str = "one") -> Upstream:
    """Return a ready upstream."""
    host = f"10.30.{number // 250}.{number % 250}"
    identity = UpstreamId(f"upstream-{number:05d}"), Incarnation(1_780_000_000_000)
    service_and_data_centre = ServiceId(f"service-{number % 40}"), DataCentreId(data_centre)
    endpoints = Endpoint(host, 8_080), Endpoint(host, 8_081)
    return Upstream(*identity, *service_and_data_centre, *endpoints, 3, 5_000, UpstreamState.READY)


class SimulatedCluster:
    """Instances of one data centre that run membership and the upstream directory."""

    def __init__(self, count: int, is_counting_bytes: bool) -> None:
        self.count, self.is_counting_bytes = count, is_counting_bytes
        self.sent_bytes: Counter = Counter()
        self.received_bytes: Counter = Counter()
        self.sent_messages: Counter = Counter()
        self.rng = Random(1)
        self.loop = MachineLoop(self.count_message)
        self.initial_members = tuple(make_member(number, 0) for number in range(count))
        for number in range(count):
            self.start_instance(number)
        self.upstreams = [make_upstream(n) for n in range(count * UPSTREAMS_PER_INSTANCE)]

    def count_message(self, sender, to, message):
        """Count a message and return its delivery delays in seconds."""
        if self.is_counting_bytes:
            size = len(encode(message))
            self.sent_bytes[sender] += size
            self.received_bytes[to] += size
            self.sent_messages[sender] += 1
        return (LATENCY_SECONDS,)

    def start_instance(self, number: int) -> None:
        """Start or restart an instance with a later incarnation."""
        member = make_member(number, int(self.loop.now) + 1)
        now = self.loop.now
        member_rng = Random(f"{number}/{now}")
        membership = LeaseMembership(
            MembershipSettings(), member, self.initial_members, member_rng, now
        )
        directory = UpstreamDirectory(DirectorySettings(), member.instance, member.data_centre, now)
        self.loop.start_instance(member.instance, membership, directory)

    def run_announcements(self, seconds: float) -> float:
        """Run with upstream announcements and return the processor time; both in seconds."""
        started = time.process_time()
        until = self.loop.now + seconds
        step = ANNOUNCE_INTERVAL_SECONDS / len(self.upstreams)
        number = 0
        while self.loop.now < until:
            upstream = self.upstreams[number % len(self.upstreams)]
            instance = self.rng.choice(list(self.loop.machines))
            self.loop.deliver_event(
                instance, AnnouncementReceived(upstream, ANNOUNCEMENT_VALID_SECONDS)
            )
            self.loop.run_until(self.loop.now + step)
            number += 1
        return time.process_time() - started

    def reset_counters(self) -> None:
        """Reset all counters."""
        for counter in (self.sent_bytes, self.received_bytes, self.sent_messages):
            counter.clear()

    def count_acting_instances(self) -> int:
        """Return how many instances hold a lease that allows them to act."""
        machines = self.loop.machines.values()
        return sum(membership.may_act(self.loop.now) for membership, _ in machines)


def summarise_rates(counter: Counter, seconds: float, count: int) -> dict[str, float]:
    """Return the mean and the maximum rate per second over the instances."""
    rates = [value / seconds for value in counter.values()]
    return {"mean": round(sum(rates) / count, 1), "max": round(max(rates, default=0.0), 1)}


def measure_instances(count: int, seconds: float) -> dict:
    """Measure a data centre in steady state, then while one instance leaves and rejoins."""
    cluster = SimulatedCluster(count, is_counting_bytes=True)
    cluster.run_announcements(SETTLE_SECONDS)
    cluster.reset_counters()
    cluster.run_announcements(seconds)
    totals = Counter(cluster.sent_bytes) + Counter(cluster.received_bytes)
    figures = {
        "acting": cluster.count_acting_instances(),
        "bytes_per_s": summarise_rates(totals, seconds, count),
        "sent_bytes_per_s": summarise_rates(cluster.sent_bytes, seconds, count),
        "messages_per_s": summarise_rates(cluster.sent_messages, seconds, count),
    }
    cluster.reset_counters()
    restarted_instance = InstanceId(f"balancer-{count // 2:04d}")
    cluster.loop.deliver_event(restarted_instance, Leave())
    cluster.run_announcements(1.0)
    cluster.loop.crash_instance(restarted_instance)
    cluster.start_instance(count // 2)
    cluster.run_announcements(seconds - 1.0)
    restart_totals = Counter(cluster.sent_bytes) + Counter(cluster.received_bytes)
    extra_bytes = {
        name: restart_totals[name] - totals[name]
        for name in restart_totals
        if name != restarted_instance
    }
    figures["bytes_per_restart"] = {
        "mean": round(sum(extra_bytes.values()) / count),
        "max": max(extra_bytes.values(), default=0),
        "restarted": restart_totals[restarted_instance],
    }
    timed_cluster = SimulatedCluster(count, is_counting_bytes=False)
    timed_cluster.run_announcements(SETTLE_SECONDS)
    processor_seconds = timed_cluster.run_announcements(seconds)
    figures["cpu_percent_mean"] = round(100 * processor_seconds / seconds / count, 4)
    return figures


def measure_records(count: int) -> dict:
    """Measure memory, encoded size and insertion time of a directory's records."""
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    store = RecordStore(DirectorySettings().digest_buckets)
    started = time.process_time()
    for number in range(count):
        upstream = make_upstream(number, f"dc{number % 4}")
        store.put_record(DirectoryRecord(upstream, 0, 4, is_removed=False), Instant(0.0))
    seconds = time.process_time() - started
    used_bytes = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    encoded_bytes = len(encode(DirectoryReport((), tuple(store.records.values()))))
    return {
        "memory_mb": round(used_bytes / 1e6, 2),
        "bytes_per_upstream": round(used_bytes / max(1, count)),
        "wire_bytes_per_upstream": round(encoded_bytes / max(1, count)),
        "put_microseconds_traced": round(1e6 * seconds / max(1, count), 1),
    }


def main() -> None:
    """Measure each number of instances, then each number of upstreams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--instances", type=int, nargs="+", default=[7, 20, 50, 100, 200])
    options = parser.parse_args()
    for count in options.instances:
        figures = measure_instances(count, options.seconds)
        print(json.dumps({"benchmark": "membership_slopes", "instances": count, **figures}))
    for upstreams in (100, 1_000, FULL_SCALE_UPSTREAMS):
        figures = measure_records(upstreams)
        print(json.dumps({"benchmark": "membership_slopes", "upstreams": upstreams, **figures}))


if __name__ == "__main__":
    main()
