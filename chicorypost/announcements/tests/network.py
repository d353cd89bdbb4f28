"""Keepers and views joined by hand-delivered messages."""

from chicorypost.announcements import (
    AnnouncementRegistry,
    AnnouncementSettings,
    DirectoryView,
    PeerConnected,
    PeerDisconnected,
    PeersChanged,
    UpstreamCallCompleted,
    UpstreamCallReceived,
    VisibleUpstreamsChanged,
)
from chicorypost.base import InstanceId, Instant, Received, Send, Tick

SETTINGS = AnnouncementSettings()


class Network:
    """Control instances and one balancer; messages arrive at once, unless a link is cut."""

    def __init__(self, controls):
        self.now = Instant(0.0)
        self.names = [InstanceId(name) for name in controls]
        self.registries = {}
        self.balancer = InstanceId("balancer")
        self.view = DirectoryView(SETTINGS, tuple(self.names), self.now)
        self.cut_links = set()
        self.completed_calls = []
        self.visible_upstreams = {}
        for number, name in enumerate(self.names, start=1):
            self.start(name, number)

    def start(self, name, feed):
        """Start a control instance with an empty table."""
        self.registries[name] = AnnouncementRegistry(SETTINGS, feed, self.now)
        others = tuple(other for other in self.names if other != name)
        self.deliver(name, PeersChanged(others, tuple(self.names)))
        for other in others:
            if other in self.registries:
                self.deliver(name, PeerConnected(other))
                self.deliver(other, PeerConnected(name))
        self.deliver(self.balancer, PeerConnected(name))

    def stop(self, name):
        """End a control instance; connections to it are lost."""
        del self.registries[name]
        for other in self.registries:
            self.deliver(other, PeerDisconnected(name))
        self.deliver(self.balancer, PeerDisconnected(name))

    def state_machine(self, name):
        return self.view if name == self.balancer else self.registries.get(name)

    def deliver(self, name, event):
        machine = self.state_machine(name)
        if machine is None:
            return
        for effect in list(machine.handle(event, self.now)):
            self.carry_out(name, effect)

    def carry_out(self, name, effect):
        match effect:
            case Send(to, message):
                if (name, to) not in self.cut_links:
                    self.deliver(to, Received(name, message))
            case UpstreamCallCompleted(call, outcome):
                self.completed_calls.append((call, outcome))
            case VisibleUpstreamsChanged(upstreams):
                self.visible_upstreams = {item.announcement.upstream: item for item in upstreams}

    def announce(self, name, announcement, call="call"):
        self.deliver(name, UpstreamCallReceived(call, announcement))

    def run(self, seconds, each=lambda: None):
        """Let time pass, with something done twice a second."""
        end = self.now + seconds
        while self.now < end:
            self.now = Instant(self.now + 0.1)
            for name in [*self.registries, self.balancer]:
                machine = self.state_machine(name)
                deadline = machine.next_deadline()
                if deadline is not None and deadline <= self.now:
                    self.deliver(name, Tick())
            if round(self.now * 10) % 5 == 0:
                each()
