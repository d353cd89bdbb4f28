"""Bytes per second of the feed of upstream announcements from control instances to balancers.

``python -m benchmarks.feed_bytes`` counts the bytes that one balancer and one control instance send
and receive per second, at rest and during a release, and the bytes of a balancer's start and of its
return after a cut. It counts frames without TCP and IP headers.
"""

import argparse

from benchmarks.reporting import report
from chicorypost.announcements import (
    AnnouncedStatus,
    Announcement,
    AnnouncementRegistry,
    AnnouncementSettings,
    DirectoryView,
    FeedPage,
    PeerConnected,
    PeerDisconnected,
    PeersChanged,
    UpstreamCallReceived,
)
from chicorypost.base import (
    DataCentreId,
    Endpoint,
    Event,
    InstanceId,
    Instant,
    Received,
    Send,
    ServiceId,
    Tick,
    UpstreamId,
)
from chicorypost.transport import Heartbeat, HeartbeatReply, encode_frame

SETTINGS = AnnouncementSettings(interval_seconds=1.0)
STEP_SECONDS = 0.1
HEARTBEATS_PER_SECOND = 2
"""The rate that the roles use; each heartbeat has a reply."""
REST_SECONDS = 20.0
RELEASE_SECONDS = 20.0


class FeedSimulation:
    """Control instances, upstreams and balancers, with a count of bytes by instance.

    Parameters
    ----------
    controls, balancers, upstreams : int
        Number of instances of each kind. The bytes of the first balancer are measured; the other
        balancers only subscribe.
    """

    def __init__(self, controls: int, balancers: int, upstreams: int) -> None:
        self.now = Instant(0.0)
        self.balancers = [InstanceId(f"10.0.{n // 250}.{n % 250}") for n in range(balancers)]
        self.measured_balancer = self.balancers[0]
        self.controls = [InstanceId(f"10.9.0.{n}:8166") for n in range(controls)]
        self.registries = {
            name: AnnouncementRegistry(SETTINGS, number + 1, self.now)
            for number, name in enumerate(self.controls)
        }
        self.views = {
            name: DirectoryView(SETTINGS, tuple(self.controls), self.now) for name in self.balancers
        }
        self.byte_counts: dict[InstanceId, int] = {}
        self.sent_pages = 0
        self.upstreams = upstreams
        self.first_upstream = 0
        self.sequence_numbers: dict[int, int] = {}
        self._connect()

    def _connect(self) -> None:
        for name in self.controls:
            others = tuple(other for other in self.controls if other != name)
            self.deliver_event(name, PeersChanged(others, tuple(self.controls)))
            for other in others:
                self.deliver_event(name, PeerConnected(other))
        for balancer in self.balancers:
            for name in self.controls:
                self.deliver_event(balancer, PeerConnected(name))

    def restart_balancer(self) -> int:
        """Restart the measured balancer; return the bytes that it exchanges until it has all."""
        name = self.measured_balancer
        self.byte_counts[name] = 0
        self.views[name] = DirectoryView(SETTINGS, tuple(self.controls), self.now)
        for control in self.controls:
            self.deliver_event(name, PeerConnected(control))
        return self.byte_counts[name]

    def reconnect_balancer(self) -> int:
        """Cut the measured balancer off for a moment; return the bytes of its return."""
        name = self.measured_balancer
        for control in self.controls:
            self.deliver_event(name, PeerDisconnected(control))
        self.byte_counts[name] = 0
        for control in self.controls:
            self.deliver_event(name, PeerConnected(control))
        return self.byte_counts[name]

    def deliver_event(self, name: InstanceId, event: Event) -> None:
        """Deliver an event to an instance, and its messages to their receivers, counting bytes."""
        machine = self.registries.get(name) or self.views[name]
        for effect in list(machine.handle(event, self.now)):
            if isinstance(effect, Send):
                size = len(encode_frame(effect.message))
                self.sent_pages += name == self.controls[0] and isinstance(effect.message, FeedPage)
                for end in (name, effect.to):
                    self.byte_counts[end] = self.byte_counts.get(end, 0) + size
                self.deliver_event(effect.to, Received(name, effect.message))

    def send_announcement(
        self, number: int, status: AnnouncedStatus = AnnouncedStatus.READY
    ) -> None:
        """Deliver an announcement of an upstream to its control instance."""
        sequence = self.sequence_numbers[number] = self.sequence_numbers.get(number, 0) + 1
        announcement = Announcement(
            UpstreamId(f"i-{number:08x}"),
            1_790_000_000_000 + number,
            sequence,
            ServiceId("atelier"),
            DataCentreId("gent-a"),
            Endpoint(f"10.128.{number // 250}.{number % 250}", 8080),
            number + 1,
            2,
            status,
            0,
        )
        control = self.controls[number % len(self.controls)]
        self.deliver_event(control, UpstreamCallReceived("call", announcement))

    def run(self, seconds: float, replaced: int = 0) -> None:
        """Advance simulated time while upstreams announce every second and some are replaced."""
        steps = round(seconds / STEP_SECONDS)
        live = list(range(self.first_upstream, self.first_upstream + self.upstreams))
        due = [round((n + 1) * steps / (replaced + 1)) for n in range(replaced)]
        for step in range(steps):
            self.now = Instant(self.now + STEP_SECONDS)
            for name in (*self.controls, *self.balancers):
                machine = self.registries.get(name) or self.views[name]
                deadline = machine.next_deadline()
                if deadline is not None and deadline <= self.now:
                    self.deliver_event(name, Tick())
            for number in live[step % 10 :: 10]:
                self.send_announcement(number)
            for _ in range(due.count(step)):
                new_upstream = live[-1] + 1
                self.send_announcement(new_upstream)
                self.send_announcement(live[0], AnnouncedStatus.DRAINING)
                live = [*live[1:], new_upstream]
        self.first_upstream = live[0]


def measure(controls: int, balancers: int, upstreams: int) -> None:
    """Measure one deployment size and report its figures."""
    simulation = FeedSimulation(controls, balancers, upstreams)
    simulation.run(5.0)
    heartbeat_bytes = len(encode_frame(Heartbeat(1000))) + len(encode_frame(HeartbeatReply(1000)))
    heartbeat_bytes_per_second = HEARTBEATS_PER_SECOND * heartbeat_bytes
    rates = {}
    for phase, replaced in (("rest", 0), ("release", upstreams // 3)):
        simulation.byte_counts.clear()
        simulation.sent_pages = 0
        seconds = REST_SECONDS if phase == "rest" else RELEASE_SECONDS
        simulation.run(seconds, replaced)
        balancer = (
            simulation.byte_counts[simulation.measured_balancer] / seconds
            + heartbeat_bytes_per_second * controls
        )
        control = (
            simulation.byte_counts[simulation.controls[0]] / seconds
            + heartbeat_bytes_per_second * balancers
        )
        rates[f"{phase}_balancer_bytes_per_second"] = round(balancer)
        rates[f"{phase}_control_bytes_per_second"] = round(control)
        rates[f"{phase}_control_pages_per_second"] = round(simulation.sent_pages / seconds)
    report(
        "feed-bytes",
        controls=controls,
        balancers=balancers,
        upstreams=upstreams,
        rest_target=1000,
        release_target=4000,
        return_balancer_bytes=simulation.reconnect_balancer(),
        start_balancer_bytes=simulation.restart_balancer(),
        **rates,
    )


def main() -> None:
    """Measure at 30, 100, 140 and 300 balancers, and with many upstreams."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    sizes = ((3, 30, 16), (6, 100, 54), (6, 140, 75), (6, 300, 160), (3, 30, 1500))
    for controls, balancers, upstreams in sizes:
        measure(controls, balancers, upstreams)


if __name__ == "__main__":
    main()
