"""Cost of membership and directory by size: ``python -m benchmarks.membership_slopes``.

Prints one JSON line per number of instances in one data centre, with that number of upstreams in
proportion, and one per number of upstreams in all. Bytes are those of the encoded messages, sent
and received; processor time is that of the state machines with the loop, without the codec.
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
    """Return one balancer with a name of realistic length and a start time in milliseconds."""
    name = InstanceId(f"balancer-{number:04d}")
    port = 20_000 + number
    ends = Endpoint("10.20.30.40", port), Endpoint("10.20.30.40", port + 1)
    return Member(name, Incarnation(1_780_000_000_000 + incarnation), DataCentreId("one"), *ends)


def make_upstream(number: int, data_centre: str = "one") -> Upstream:
    """Return one ready upstream."""
    host = f"10.30.{number // 250}.{number % 250}"
    ids = UpstreamId(f"upstream-{number:05d}"), Incarnation(1_780_000_000_000)
    services = ServiceId(f"service-{number % 40}"), DataCentreId(data_centre)
    ends = Endpoint(host, 8_080), Endpoint(host, 8_081)
    return Upstream(*ids, *services, *ends, 3, 5_000, UpstreamState.READY)


class SimulatedCluster:
    """Instances of one data centre with membership and directory."""

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
        """Count a message and deliver it."""
        if self.is_counting_bytes:
            size = len(encode(message))
            self.sent_bytes[sender] += size
            self.received_bytes[to] += size
            self.sent_messages[sender] += 1
        return (LATENCY_SECONDS,)

    def start_instance(self, number: int) -> None:
        """Start an instance."""
        member = make_member(number, int(self.loop.now) + 1)
        now = self.loop.now
        seed = Random(f"{number}/{now}")
        membership = LeaseMembership(MembershipSettings(), member, self.initial_members, seed, now)
        directory = UpstreamDirectory(DirectorySettings(), member.instance, member.data_centre, now)
        self.loop.start_instance(member.instance, membership, directory)

    def run_announcements(self, seconds: float) -> float:
        """Let upstreams announce themselves for some seconds and return the processor time."""
        began = time.process_time()
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
        return time.process_time() - began

    def reset_counters(self) -> None:
        """Begin to count anew."""
        for counter in (self.sent_bytes, self.received_bytes, self.sent_messages):
            counter.clear()

    def count_acting_instances(self) -> int:
        """Return how many instances may act."""
        machines = self.loop.machines.values()
        return sum(membership.may_act(self.loop.now) for membership, _ in machines)


def summarise_rates(counter: Counter, seconds: float, count: int) -> dict[str, float]:
    """Return mean and maximum over the instances."""
    values = [value / seconds for value in counter.values()]
    return {"mean": round(sum(values) / count, 1), "max": round(max(values, default=0.0), 1)}


def measure_instances(count: int, seconds: float) -> dict:
    """Measure a data centre at rest, then through one leave and one join."""
    fleet = SimulatedCluster(count, is_counting_bytes=True)
    fleet.run_announcements(SETTLE_SECONDS)
    fleet.reset_counters()
    fleet.run_announcements(seconds)
    totals = Counter(fleet.sent_bytes) + Counter(fleet.received_bytes)
    figures = {
        "acting": fleet.count_acting_instances(),
        "bytes_per_s": summarise_rates(totals, seconds, count),
        "sent_bytes_per_s": summarise_rates(fleet.sent_bytes, seconds, count),
        "messages_per_s": summarise_rates(fleet.sent_messages, seconds, count),
    }
    fleet.reset_counters()
    leaver = InstanceId(f"balancer-{count // 2:04d}")
    fleet.loop.deliver_event(leaver, Leave())
    fleet.run_announcements(1.0)
    fleet.loop.crash_instance(leaver)
    fleet.start_instance(count // 2)
    fleet.run_announcements(seconds - 1.0)
    changed = Counter(fleet.sent_bytes) + Counter(fleet.received_bytes)
    extra = {name: changed[name] - totals[name] for name in changed if name != leaver}
    figures["bytes_per_restart"] = {
        "mean": round(sum(extra.values()) / count),
        "max": max(extra.values(), default=0),
        "restarted": changed[leaver],
    }
    timed = SimulatedCluster(count, is_counting_bytes=False)
    timed.run_announcements(SETTLE_SECONDS)
    spent = timed.run_announcements(seconds)
    figures["cpu_percent_mean"] = round(100 * spent / seconds / count, 4)
    return figures


def measure_records(count: int) -> dict:
    """Measure memory and digest of a directory with some upstreams."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    store = RecordStore(DirectorySettings().digest_buckets)
    began = time.process_time()
    for number in range(count):
        upstream = make_upstream(number, f"dc{number % 4}")
        store.put_record(DirectoryRecord(upstream, 0, 4, is_removed=False), Instant(0.0))
    seconds = time.process_time() - began
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    size = len(encode(DirectoryReport((), tuple(store.records.values()))))
    return {
        "memory_mb": round(used / 1e6, 2),
        "bytes_per_upstream": round(used / max(1, count)),
        "wire_bytes_per_upstream": round(size / max(1, count)),
        "put_microseconds_traced": round(1e6 * seconds / max(1, count), 1),
    }


def main() -> None:
    """Run all sizes."""
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
