"""Measure control bytes, processor time and memory against the number of balancers.

The followers and one publisher run as state machines in simulated time, with 60 services, 480
addresses and 1,500 changes a day. Processor time is that of the state machines only, without
sockets and encoding.

Run with ``python -m benchmarks.configuration_slopes``.
"""

import random
import time
import tracemalloc
from collections import defaultdict
from typing import Any

from benchmarks.configuration_bytes import change_one_service, make_document
from benchmarks.machine_loop import MachineLoop
from benchmarks.reporting import report
from chicorypost.base import (
    DataCentreId,
    Effect,
    Endpoint,
    Epoch,
    Event,
    Incarnation,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    Send,
    StateMachine,
    Version,
    View,
    ViewChanged,
    encode,
)
from chicorypost.configuration import (
    AdmissionCommitted,
    ConfigurationApplied,
    ConfigurationFollower,
    ConfigurationPublisher,
    DistributionSettings,
    LeadershipChanged,
    ProposeCommand,
    StateApplied,
)

DATA_CENTRE_COUNT = 4
BALANCER_COUNTS = (20, 100, 300)
WARM_UP_SECONDS = 10.0
CHANGE_COUNT = 4
CHANGE_INTERVAL_SECONDS = 86_400 / 1_500
LEASE_END = Instant(1e9)
CONTROL = InstanceId("control-0")
UNUSED_ENDPOINT = Endpoint("::1", 1)
SETTINGS = DistributionSettings()


class TimedMachine:
    """Wraps a state machine and adds up the time spent in its `handle`, in seconds."""

    def __init__(self, machine: Any, seconds: dict[str, float], name: str) -> None:
        self.machine = machine
        self.processor_seconds = seconds
        self.name = name

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Handle an event and return the effects other than `LeaseChanged`.

        A follower returns `LeaseChanged` for the other components of its instance; here the loop
        would deliver it back to the follower.
        """
        started = time.perf_counter()
        effects: list[Effect] = self.machine.handle(event, now)
        self.processor_seconds[self.name] += time.perf_counter() - started
        return [effect for effect in effects if not isinstance(effect, LeaseChanged)]

    def next_deadline(self) -> Instant | None:
        """Return when the wrapped machine needs its next `Tick`."""
        deadline: Instant | None = self.machine.next_deadline()
        return deadline

    def dump(self) -> dict[str, Any]:
        """Return the state of the wrapped machine."""
        dumped: dict[str, Any] = self.machine.dump()
        return dumped


class SlopeMeasurement:
    """Measures the distribution of changes to a given number of balancers."""

    def __init__(self, count: int) -> None:
        self.balancer_count = count
        self.sent_bytes: dict[str, int] = defaultdict(int)
        self.received_bytes: dict[str, int] = defaultdict(int)
        self.processor_seconds: dict[str, float] = defaultdict(float)
        self.in_force_seconds: list[float] = []
        self.published_at = 0.0
        self.applied_instances: set[InstanceId] = set()
        self.loop = MachineLoop(on_effect=self.record_effect)
        self.publisher = ConfigurationPublisher(SETTINGS, CONTROL, random.Random(1), Instant(0))
        self.members = tuple(_make_member(number) for number in range(count))
        self.followers: list[ConfigurationFollower] = []

    def record_effect(self, sender: InstanceId, effect: Effect, now: Instant) -> None:
        """Count message bytes and record when a version is in force on all balancers.

        The publisher's proposals to admit a balancer are committed at once; there is no replicated
        log here.
        """
        match effect:
            case Send(to=to, message=message):
                size = len(encode(message))
                self.sent_bytes[sender] += size
                self.received_bytes[to] += size
            case ConfigurationApplied():
                self.applied_instances.add(sender)
                if len(self.applied_instances) == self.balancer_count:
                    self.in_force_seconds.append(now - self.published_at)
            case ProposeCommand(command=command) if hasattr(command, "token"):
                self.loop.deliver_event(CONTROL, AdmissionCommitted(command.token))

    def start_machines(self) -> None:
        """Start the publisher as leader and all followers with their views and leases."""
        self.loop.start_instance(
            CONTROL, TimedMachine(self.publisher, self.processor_seconds, CONTROL)
        )
        self.loop.deliver_event(CONTROL, LeadershipChanged(True))
        views = {
            data_centre: View(
                data_centre,
                Epoch(1),
                tuple(m for m in self.members if m.data_centre == data_centre),
            )
            for data_centre in {member.data_centre for member in self.members}
        }
        for number, member in enumerate(self.members):
            rng = random.Random(number)
            now = self.loop.now
            follower = ConfigurationFollower(SETTINGS, member, (CONTROL,), self.members, rng, now)
            self.followers.append(follower)
            machine: StateMachine = TimedMachine(follower, self.processor_seconds, member.instance)
            self.loop.start_instance(member.instance, machine)
            self.loop.deliver_event(member.instance, ViewChanged(views[member.data_centre]))
            self.loop.deliver_event(member.instance, LeaseChanged(LEASE_END))

    def run_changes(self) -> dict[str, Any]:
        """Publish changes at the daily rate and return the figures."""
        rng = random.Random(2)
        tracemalloc.start()
        memory_before = tracemalloc.get_traced_memory()[0]
        self.start_machines()
        document = make_document(60, 480)
        self._publish_document(Version(1), document)
        self.loop.run_until(WARM_UP_SECONDS)
        memory = tracemalloc.get_traced_memory()[0] - memory_before
        tracemalloc.stop()
        for counter in (self.sent_bytes, self.received_bytes, self.processor_seconds):
            counter.clear()
        self.in_force_seconds.clear()
        for number in range(CHANGE_COUNT):
            document = change_one_service(document, rng)
            self._publish_document(Version(number + 2), document)
            self.loop.run_until(self.loop.now + CHANGE_INTERVAL_SECONDS)
        return self._summarise(memory, CHANGE_COUNT * CHANGE_INTERVAL_SECONDS)

    def _publish_document(self, version: Version, document: dict[str, Any]) -> None:
        self.applied_instances = set()
        self.published_at = self.loop.now
        self.loop.deliver_event(CONTROL, StateApplied(version, document, (), {}))

    def _summarise(self, memory: int, duration: float) -> dict[str, Any]:
        relays = {follower.relay_name for follower in self.followers}
        other_balancers = [
            member.instance for member in self.members if member.instance not in relays
        ]
        groups: dict[str, list[Any]] = {
            "control": [CONTROL],
            "relay": sorted(map(str, relays)),
            "balancer": other_balancers,
        }
        return {
            "balancers": self.balancer_count,
            "data_centres": DATA_CENTRE_COUNT,
            "in_force_ms_max": round(max(self.in_force_seconds) * 1000, 1),
            "memory_kb_per_balancer": round(memory / self.balancer_count / 1024, 1),
            **{name: self._summarise_group(names, duration) for name, names in groups.items()},
        }

    def _summarise_group(self, names: list[Any], duration: float) -> dict[str, float]:
        instance_seconds = len(names) * duration
        return {
            "sent_bytes_per_s": round(
                sum(self.sent_bytes[name] for name in names) / instance_seconds, 1
            ),
            "received_bytes_per_s": round(
                sum(self.received_bytes[name] for name in names) / instance_seconds, 1
            ),
            "core_percent": round(
                100 * sum(self.processor_seconds[name] for name in names) / instance_seconds, 4
            ),
        }


def _make_member(number: int) -> Member:
    data_centre = DataCentreId(f"site-{number % DATA_CENTRE_COUNT}")
    return Member(
        InstanceId(f"balancer-{number}"),
        Incarnation(1),
        data_centre,
        UNUSED_ENDPOINT,
        UNUSED_ENDPOINT,
    )


def main() -> None:
    """Measure each number of balancers."""
    for count in BALANCER_COUNTS:
        report("configuration_slopes", **SlopeMeasurement(count).run_changes())


if __name__ == "__main__":
    main()
