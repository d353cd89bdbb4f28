"""Simulation of announcement registries and a directory view that exchange messages."""

from chicorypost.announcements import (
    AnnouncedStatus,
    AnnouncementRegistry,
    AnnouncementSettings,
    DirectoryView,
    PeerConnected,
    PeerDisconnected,
    PeersChanged,
    TableChanged,
    TableRestored,
    TableSaved,
    UpstreamCallCompleted,
    UpstreamCallReceived,
    VisibleUpstreamsChanged,
)
from chicorypost.base import InstanceId, Instant, Received, Send, Tick

SETTINGS = AnnouncementSettings()


class Network:
    """Control instances and one balancer; messages arrive at once unless their link is cut."""

    def __init__(self, controls, knows_peers_first=True):
        self.now = Instant(0.0)
        self.names = [InstanceId(name) for name in controls]
        self.registries = {}
        self.balancer = InstanceId("balancer")
        self.view = DirectoryView(SETTINGS, tuple(self.names), self.now)
        self.cut_links = set()
        self.completed_calls = []
        self.visible_upstreams = {}
        self.ever_usable = set()
        self.disks = dict.fromkeys(self.names, ())
        self.refusing_disks = set()
        self.knows_peers_first = knows_peers_first
        for number, name in enumerate(self.names, start=1):
            self.start(name, number)

    def start(self, name, feed_id, is_restored=False):
        """Start a control instance with an empty table, or with the one on its disk."""
        self.registries[name] = AnnouncementRegistry(SETTINGS, feed_id, self.now)
        if is_restored:
            self.deliver(name, TableRestored(self.disks[name]))
        others = tuple(other for other in self.names if other != name)
        if self.knows_peers_first:
            self.deliver(name, PeersChanged(others, tuple(self.names)))
        for other in others:
            if other in self.registries:
                self.deliver(name, PeerConnected(other))
                self.deliver(other, PeerConnected(name))
        if not self.knows_peers_first:
            self.deliver(name, PeersChanged(others, tuple(self.names)))
        self.deliver(self.balancer, PeerConnected(name))

    def stop(self, name):
        """Stop a control instance; connections to it are lost."""
        del self.registries[name]
        for other in self.registries:
            self.deliver(other, PeerDisconnected(name))
        self.deliver(self.balancer, PeerDisconnected(name))

    def start_balancer(self):
        """Replace the balancer by one that has just started."""
        self.view = DirectoryView(SETTINGS, tuple(self.names), self.now)
        self.visible_upstreams = {}
        for name in self.registries:
            self.deliver(self.balancer, PeerConnected(name))

    def save_table(self, name, change_number):
        """Save the table of a control instance, unless its disk refuses."""
        if name not in self.refusing_disks:
            self.disks[name] = self.registries[name].list_all_upstreams(self.now)
            self.deliver(name, TableSaved(change_number))

    def state_machine(self, name):
        return self.view if name == self.balancer else self.registries.get(name)

    def deliver(self, name, event):
        state_machine = self.state_machine(name)
        if state_machine is None:
            return
        for effect in list(state_machine.handle(event, self.now)):
            self.carry_out(name, effect)

    def carry_out(self, name, effect):
        match effect:
            case Send(to, message):
                if (name, to) not in self.cut_links:
                    self.deliver(to, Received(name, message))
            case UpstreamCallCompleted(call, outcome):
                self.completed_calls.append((call, outcome))
            case VisibleUpstreamsChanged(changed, removed):
                self.visible_upstreams |= {item.announcement.upstream: item for item in changed}
                for upstream in removed:
                    self.visible_upstreams.pop(upstream, None)
                self.ever_usable |= {
                    item.announcement.upstream
                    for item in changed
                    if item.announcement.status is AnnouncedStatus.READY and not item.is_silent
                }
            case TableChanged(change_number):
                self.save_table(name, change_number)

    def announce(self, name, announcement, call="call"):
        self.deliver(name, UpstreamCallReceived(call, announcement))

    def run(self, seconds, each=lambda: None):
        """Advance the time, calling `each` twice a second."""
        end = self.now + seconds
        while self.now < end:
            self.now = Instant(self.now + 0.1)
            for name in [*self.registries, self.balancer]:
                state_machine = self.state_machine(name)
                deadline = state_machine.next_deadline()
                if deadline is not None and deadline <= self.now:
                    self.deliver(name, Tick())
            if round(self.now * 10) % 5 == 0:
                each()
