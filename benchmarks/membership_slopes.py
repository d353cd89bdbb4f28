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
ANNOUNCE_SECONDS = 5.0
VALID_SECONDS = 15.0
SETTLE_SECONDS = 32.0
LATENCY_SECONDS = 0.001
FULL_UPSTREAMS = 7_800


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


class Fleet:
    """Instances of one data centre with membership and directory."""

    def __init__(self, count: int, is_counting: bool) -> None:
        self.count, self.is_counting = count, is_counting
        self.sent: Counter = Counter()
        self.received: Counter = Counter()
        self.messages: Counter = Counter()
        self.random = Random(1)
        self.loop = MachineLoop(self.route)
        self.peers = tuple(make_member(number, 0) for number in range(count))
        for number in range(count):
            self.start(number)
        self.upstreams = [make_upstream(n) for n in range(count * UPSTREAMS_PER_INSTANCE)]

    def route(self, sender, to, message):
        """Count a message and deliver it."""
        if self.is_counting:
            size = len(encode(message))
            self.sent[sender] += size
            self.received[to] += size
            self.messages[sender] += 1
        return (LATENCY_SECONDS,)

    def start(self, number: int) -> None:
        """Start an instance."""
        member = make_member(number, int(self.loop.now) + 1)
        now = self.loop.now
        seed = Random(f"{number}/{now}")
        membership = LeaseMembership(MembershipSettings(), member, self.peers, seed, now)
        directory = UpstreamDirectory(DirectorySettings(), member.instance, member.data_centre, now)
        self.loop.start_instance(member.instance, membership, directory)

    def run(self, seconds: float) -> float:
        """Let upstreams announce themselves for some seconds and return the processor time."""
        began = time.process_time()
        until = self.loop.now + seconds
        step = ANNOUNCE_SECONDS / len(self.upstreams)
        number = 0
        while self.loop.now < until:
            upstream = self.upstreams[number % len(self.upstreams)]
            instance = self.random.choice(list(self.loop.machines))
            self.loop.deliver_event(instance, AnnouncementReceived(upstream, VALID_SECONDS))
            self.loop.run_until(self.loop.now + step)
            number += 1
        return time.process_time() - began

    def reset(self) -> None:
        """Begin to count anew."""
        for counter in (self.sent, self.received, self.messages):
            counter.clear()

    def acting(self) -> int:
        """Return how many instances may act."""
        machines = self.loop.machines.values()
        return sum(membership.may_act(self.loop.now) for membership, _ in machines)


def per_second(counter: Counter, seconds: float, count: int) -> dict[str, float]:
    """Return mean and maximum over the instances."""
    values = [value / seconds for value in counter.values()]
    return {"mean": round(sum(values) / count, 1), "max": round(max(values, default=0.0), 1)}


def measure_instances(count: int, seconds: float) -> dict:
    """Measure a data centre at rest, then through one leave and one join."""
    fleet = Fleet(count, is_counting=True)
    fleet.run(SETTLE_SECONDS)
    fleet.reset()
    fleet.run(seconds)
    totals = Counter(fleet.sent) + Counter(fleet.received)
    figures = {
        "acting": fleet.acting(),
        "bytes_per_s": per_second(totals, seconds, count),
        "sent_bytes_per_s": per_second(fleet.sent, seconds, count),
        "messages_per_s": per_second(fleet.messages, seconds, count),
    }
    fleet.reset()
    leaver = InstanceId(f"balancer-{count // 2:04d}")
    fleet.loop.deliver_event(leaver, Leave())
    fleet.run(1.0)
    fleet.loop.crash_instance(leaver)
    fleet.start(count // 2)
    fleet.run(seconds - 1.0)
    changed = Counter(fleet.sent) + Counter(fleet.received)
    extra = {name: changed[name] - totals[name] for name in changed if name != leaver}
    figures["bytes_per_restart"] = {
        "mean": round(sum(extra.values()) / count),
        "max": max(extra.values(), default=0),
        "restarted": changed[leaver],
    }
    timed = Fleet(count, is_counting=False)
    timed.run(SETTLE_SECONDS)
    spent = timed.run(seconds)
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
    for upstreams in (100, 1_000, FULL_UPSTREAMS):
        figures = measure_records(upstreams)
        print(json.dumps({"benchmark": "membership_slopes", "upstreams": upstreams, **figures}))


if __name__ == "__main__":
    main()
