"""In-memory control instances and balancers on a network with loss, repeats and reordering."""

import json
from random import Random

from chicorypost.base import (
    DataCentreId,
    Endpoint,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    Received,
    Send,
    Tick,
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
    ConfigurationState,
    DataCentreAdmitted,
    DistributionSettings,
    LeadershipChanged,
    PatchFormat,
    ProposeCommand,
    StateApplied,
    SubmitPatch,
)
from chicorypost.configuration.tests.test_state import NOW_MS, make_patch_id

SETTINGS = DistributionSettings()
LEASE_SECONDS = 3.0
UNUSED_ENDPOINT = Endpoint("::1", 1)


class ControlInstance:
    """A control instance with replicated state and publisher; all share the log of the cluster."""

    def __init__(self, name, cluster):
        self.name = name
        self.cluster = cluster
        self.state = ConfigurationState()
        self.publisher = ConfigurationPublisher(SETTINGS, name, cluster.random, cluster.now)
        self.applied_count = 0

    def apply_log(self, count=None):
        log = self.cluster.log
        until = len(log) if count is None else min(len(log), self.applied_count + count)
        while self.applied_count < until:
            outcome = self.state.apply_command(log[self.applied_count])
            self.applied_count += 1
            self._notify_publisher(outcome)
        return self.state

    def _notify_publisher(self, outcome):
        state = self.state
        event = StateApplied(
            state.version, state.effective, state.withheld, dict(state.data_centres)
        )
        self.cluster.handle_event(self.name, event)
        if isinstance(outcome, DataCentreAdmitted):
            self.cluster.handle_event(self.name, AdmissionCommitted(outcome.token))


class Balancer:
    """A balancer with its follower, the applied configuration and the granted lease."""

    def __init__(self, member, cluster):
        self.member = member
        self.cluster = cluster
        self.version = Version(0)
        self.routes = {}
        self.granted_lease_end = None
        self.is_frozen = False
        self.follower = ConfigurationFollower(
            SETTINGS,
            member,
            tuple(cluster.controls),
            cluster.configured_members,
            cluster.random,
            cluster.now,
        )

    def execute_effect(self, effect):
        match effect:
            case ConfigurationApplied(version, document):
                assert version > self.version, "a balancer applied an older version"
                self.version = version
                self.routes = {
                    address: name
                    for name, service in document.services.items()
                    for address in service.addresses
                }
            case LeaseChanged(end):
                self.granted_lease_end = end

    def is_serving(self):
        now = self.cluster.now
        return (
            not self.is_frozen
            and self.granted_lease_end is not None
            and now < self.granted_lease_end
        )


class Cluster:
    """Control instances, data centres with balancers, and their network."""

    def __init__(self, seed=0, controls=3, data_centres=None, loss=0.0):
        self.random = Random(seed)
        self.now = Instant(100.0)
        self.loss = loss
        self.in_flight = []
        self.isolated = set()
        self.log = []
        self.sent = []
        self.controls = {}
        self.balancers = {}
        self.views = {}
        data_centres = data_centres or {"gent": 3, "aalst": 2}
        self.configured_members = tuple(
            make_member(f"{data_centre}-{number}", data_centre, 1)
            for data_centre, count in data_centres.items()
            for number in range(count)
        )
        for number in range(controls):
            name = InstanceId(f"control-{number}")
            self.controls[name] = ControlInstance(name, self)
        self.leader = next(iter(self.controls))
        self.handle_event(self.leader, LeadershipChanged(True))
        for member in self.configured_members:
            self.balancers[member.instance] = Balancer(member, self)
        for data_centre in data_centres:
            self.set_view(
                data_centre, [m for m in self.configured_members if m.data_centre == data_centre]
            )

    def handle_event(self, name, event):
        control = self.controls.get(name)
        if control is not None:
            effects = control.publisher.handle(event, self.now)
        else:
            balancer = self.balancers[name]
            if balancer.is_frozen:
                return
            effects = balancer.follower.handle(event, self.now)
        for effect in effects:
            self._execute_effect(name, effect)

    def _execute_effect(self, name, effect):
        match effect:
            case Send(to, message):
                self.sent.append((name, to, message))
                self.in_flight.append((name, to, message))
            case ProposeCommand(command):
                self.propose_command(name, command)
            case _ if name in self.balancers:
                self.balancers[name].execute_effect(effect)

    def propose_command(self, name, command):
        """Commit a command if its proposer is the leader and not isolated."""
        if name != self.leader or name in self.isolated:
            return None
        self.log.append(encode(command))
        control = self.controls[name]
        control.apply_log(len(self.log) - control.applied_count - 1)
        outcome = control.state.apply_command(self.log[-1])
        control.applied_count += 1
        control._notify_publisher(outcome)
        return outcome

    def submit_assignments(self, expected, addresses, number, at_ms=NOW_MS):
        """Submit a patch that assigns exactly the given addresses to each service."""
        services = {
            name: {"addresses": list(values), "selector": {"service": name}}
            for name, values in addresses.items()
        }
        body = json.dumps({"services": services}).encode()
        kind = PatchFormat.MERGE_PATCH
        command = SubmitPatch(
            make_patch_id(at_ms, number), Version(expected), kind, body, "ann", at_ms
        )
        return self.submit_command(command)

    def submit_command(self, command):
        outcome = self.controls[self.leader].state.check_patch(command)
        return outcome if outcome is not None else self.propose_command(self.leader, command)

    def set_view(self, data_centre, members):
        epoch = self.views[data_centre].epoch + 1 if data_centre in self.views else 1
        self.views[data_centre] = View(DataCentreId(data_centre), Epoch(epoch), tuple(members))
        self.renew_leases(data_centre)

    def renew_leases(self, data_centre):
        """Send the view and a new lease to every member of the view."""
        view = self.views[data_centre]
        for member in view.members:
            balancer = self.balancers.get(member.instance)
            if balancer is None or balancer.member != member:
                continue
            self.handle_event(member.instance, ViewChanged(view))
            self.handle_event(member.instance, LeaseChanged(Instant(self.now + LEASE_SECONDS)))

    def elect_leader(self, name):
        self.handle_event(self.leader, LeadershipChanged(False))
        self.leader = name
        self.controls[name].apply_log()
        self.handle_event(name, LeadershipChanged(True))

    def restart_balancer(self, name):
        """Restart a balancer without memory; it is not yet in a view."""
        old = self.balancers[name].member
        member = make_member(name, old.data_centre, old.incarnation + 1)
        self.balancers[name] = Balancer(member, self)
        return member

    def is_separated(self, sender, to):
        return (self._locate(sender) in self.isolated) != (self._locate(to) in self.isolated)

    def _locate(self, name):
        return name if name in self.controls else self.balancers[name].member.data_centre

    def deliver_one(self, keep_copy=False):
        """Deliver a random message; with `keep_copy` it can be delivered again later."""
        if not self.in_flight:
            return
        sender, to, message = picked = self.random.choice(self.in_flight)
        if not keep_copy:
            self.in_flight.remove(picked)
        if not self.is_separated(sender, to) and self.random.random() >= self.loss:
            self.handle_event(to, Received(sender, message))

    def advance(self, seconds):
        self.now = Instant(self.now + seconds)
        for name in [*self.controls, *self.balancers]:
            self.handle_event(name, Tick())

    def run(self, seconds, step=0.1):
        """Advance time with renewed leases and delivery of all messages."""
        for _ in range(round(seconds / step)):
            for data_centre in self.views:
                self.renew_leases(data_centre)
            for name, control in self.controls.items():
                if not self.is_separated(name, self.leader):
                    control.apply_log()
            while self.in_flight:
                self.deliver_one()
                self.check_routes()
            self.advance(step)
            self.check_routes()

    def check_routes(self):
        """Assert that no two serving balancers route an address to different services."""
        routed: dict[str, str] = {}
        for balancer in self.balancers.values():
            if not balancer.is_serving():
                continue
            for address, service in balancer.routes.items():
                earlier = routed.setdefault(address, service)
                assert earlier == service, f"{address} is routed to {earlier} and to {service}"


def make_member(name, data_centre, incarnation):
    return Member(
        InstanceId(name),
        Incarnation(incarnation),
        DataCentreId(data_centre),
        UNUSED_ENDPOINT,
        UNUSED_ENDPOINT,
    )
