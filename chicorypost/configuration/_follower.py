"""Balancer side of configurations: apply the highest version, and serve only when current."""

from random import Random
from typing import Any

import msgspec

from chicorypost.base import (
    Effect,
    Epoch,
    Event,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    Received,
    Send,
    Version,
    View,
    ViewChanged,
    find_member,
)
from chicorypost.configuration._document import ConfigurationApplied, ConfigurationDocument
from chicorypost.configuration._events import (
    CONFIGURATION_DAMAGED,
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_INVALID,
    OLDER_CONFIGURATION_IGNORED,
)
from chicorypost.configuration._messages import (
    AppliedConfiguration,
    ConfigurationAck,
    ConfigurationAnnouncement,
    ConfigurationCurrent,
    ConfigurationDelta,
    ConfigurationFull,
    ConfigurationPoll,
    ConfigurationReply,
    DataCentreReport,
    ReplyGuarantee,
    ReplyHeader,
    ReportAcknowledgement,
)
from chicorypost.configuration._relay import ConfigurationRelay, select_relay
from chicorypost.configuration._serving_gate import ServingGate
from chicorypost.configuration._settings import DistributionSettings
from chicorypost.configuration._validation import check_document
from chicorypost.configuration._window import (
    DocumentWindow,
    apply_delta,
    compute_digest,
    decode_value,
)

UNKNOWN_DIGEST = 0
CONTROL_FAN_OUT = 2
RELAY_TIMEOUT_POLLS = 1.5


class ConfigurationFollower:
    """State machine that keeps the configuration of one balancer.

    Takes `Received`, `Tick`, `ViewChanged` and `LeaseChanged`; gives `Send`, `Emit`,
    `ConfigurationApplied` and `LeaseChanged`. The lease passes through it: the other parts are
    given the lease only while the configuration is known to be current enough to serve.

    Parameters
    ----------
    settings : DistributionSettings
        Intervals and bounds.
    self_member : Member
        This instance, with the incarnation of this start.
    control : tuple of InstanceId
        The control instances.
    peers : tuple of Member
        Address book: the configured balancers of all data centres.
    random : Random
        Source of the choice among peers.
    now : Instant
        Time of the start.

    Notes
    -----
    A version is never replaced by an earlier one, whoever offers it.
    """

    def __init__(
        self,
        settings: DistributionSettings,
        self_member: Member,
        control: tuple[InstanceId, ...],
        peers: tuple[Member, ...],
        random: Random,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.self_member = self_member
        self.control_instances = control
        self.peers = tuple(peer for peer in peers if peer.instance != self_member.instance)
        self.random = random
        self.window = DocumentWindow(settings.window)
        self.gate = ServingGate(self_member.incarnation, now)
        self.view: View | None = None
        self.relay_name: InstanceId | None = None
        self.relay: ConfigurationRelay | None = None
        self.last_relay_contact = now
        self.highest_epoch = Epoch(0)
        self.next_poll_at = Instant(now + settings.poll_seconds * random.random())

    @property
    def version(self) -> Version:
        """The version in force on this balancer."""
        return self.window.version

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        effects = self.gate.expire_lease(self.version, now)
        match event:
            case Received(sender, message):
                effects += self._handle_message(sender, message, now)
            case ViewChanged(view):
                effects += self._change_view(view, now)
            case LeaseChanged(end):
                effects += self.gate.set_lease(end, self.version, now)
        return effects + self._handle_deadlines(now)

    def next_deadline(self) -> Instant | None:
        """Return when the follower next wants a `Tick`."""
        deadlines = [self.next_poll_at]
        if not self.gate.is_serving:
            deadlines.append(self.gate.next_sync_at)
        if self.gate.lease_end is not None:
            deadlines.append(self.gate.lease_end)
        if self.relay is not None:
            deadlines.append(self.relay.next_deadline())
        return min(deadlines)

    def applied_configuration(self) -> AppliedConfiguration:
        """Return what this balancer applies."""
        incarnation = self.self_member.incarnation
        return AppliedConfiguration(
            incarnation, self.version, self.window.digest, self.highest_epoch
        )

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "version": self.version,
            "digest": self.window.digest,
            "epoch": self.view.epoch if self.view else None,
            "heard_epoch": self.highest_epoch,
            "serving": self.gate.is_serving,
            "retained": self.gate.has_served,
            "lease_end": self.gate.lease_end,
            "relay": self.relay_name,
            "confirmations": self.relay.dump() if self.relay else None,
        }

    def _change_view(self, view: View, now: Instant) -> list[Effect]:
        if view.data_centre != self.self_member.data_centre:
            return []
        if self.view is not None and view.epoch <= self.view.epoch:
            return []
        self.view = view
        self.highest_epoch = max(self.highest_epoch, view.epoch)
        found = find_member(view.members, self.self_member.instance)
        included = found is not None and found.incarnation == self.self_member.incarnation
        self.relay_name = select_relay(view) if included else None
        effects = self.gate.enter_view(view.epoch if included else Epoch(0), self.version, now)
        if self.relay_name != self.self_member.instance:
            self.relay = None
            return effects + self._poll_relay()
        if self.relay is None:
            self.relay = ConfigurationRelay(self.settings, self.self_member, now)
        self.relay.remove_non_members(view)
        return effects + self.relay.push_version(view, self.window, now)

    def _handle_message(self, sender: InstanceId, message: Any, now: Instant) -> list[Effect]:
        if sender == self.relay_name:
            self.last_relay_contact = now
        match message:
            case ConfigurationPoll():
                return self._reply_to_poll(sender, message, now)
            case ConfigurationDelta() | ConfigurationFull() | ConfigurationCurrent():
                return self._handle_reply(sender, message, now)
            case ConfigurationAck(standing):
                return self._handle_confirmation(sender, standing, now)
            case ConfigurationAnnouncement(version):
                acknowledge = Send(sender, ConfigurationAck(self.applied_configuration()))
                return [acknowledge, *self._poll_if_newer(sender, version)]
            case ReportAcknowledgement(named_epoch, version):
                if self.relay is not None:
                    self.relay.named_epochs[sender] = named_epoch
                return self._poll_if_newer(sender, version)
        return []

    def _reply_to_poll(
        self, sender: InstanceId, poll: ConfigurationPoll, now: Instant
    ) -> list[Effect]:
        if poll.data_centre == self.self_member.data_centre:
            # Later confirmations from here carry the epoch, so releases wait for the sender.
            self.highest_epoch = max(self.highest_epoch, poll.epoch)
        head = ReplyHeader(poll.token, self._choose_guarantee(poll))
        standing = poll.applied
        answer = self.window.make_reply(standing.version, standing.digest, head)
        return [Send(sender, answer), *self._handle_confirmation(sender, standing, now)]

    def _choose_guarantee(self, poll: ConfigurationPoll) -> ReplyGuarantee:
        if poll.data_centre != self.self_member.data_centre:
            return ReplyGuarantee.UNCERTAIN
        if self.gate.is_serving:
            return ReplyGuarantee.SERVING
        return ReplyGuarantee.RETAINED if self.gate.has_served else ReplyGuarantee.UNCERTAIN

    def _handle_confirmation(
        self, sender: InstanceId, standing: AppliedConfiguration, now: Instant
    ) -> list[Effect]:
        members = self.view.members if self.view is not None else ()
        if self.relay is not None and find_member(members, sender) is not None:
            self.relay.record_confirmation(sender, standing, now)
        return self._poll_if_newer(sender, standing.version)

    def _poll_if_newer(self, sender: InstanceId, version: Version) -> list[Effect]:
        return [self._make_poll(sender)] if version > self.version else []

    def _handle_reply(
        self, sender: InstanceId, answer: ConfigurationReply, now: Instant
    ) -> list[Effect]:
        effects = self._apply_reply(sender, answer, now)
        if self.version < answer.version:
            return effects
        others = {member.instance for member in self.view.members} if self.view else set()
        others.discard(self.self_member.instance)
        return effects + self.gate.process_reply(sender, answer.header, others, self.version)

    def _apply_reply(
        self, sender: InstanceId, answer: ConfigurationReply, now: Instant
    ) -> list[Effect]:
        current = self.version
        match answer:
            case ConfigurationCurrent():
                return self._poll_if_newer(sender, answer.version)
            case _ if answer.version < current:
                offered = answer.version
                return [
                    OLDER_CONFIGURATION_IGNORED.emit(
                        version=current, offered=offered, sender=sender
                    )
                ]
            case _ if answer.version == current:
                return self._acknowledge_to_relay()
            case ConfigurationFull():
                return self._apply_document(sender, answer, _decode_object(answer.document), now)
            case ConfigurationDelta(base=base) if base == current:
                change = _decode_object(answer.delta)
                value = None if change is None else apply_delta(self.window.document, change)
                return self._apply_document(sender, answer, value, now)
        return [self._make_poll(sender)]

    def _apply_document(
        self,
        sender: InstanceId,
        answer: ConfigurationDelta | ConfigurationFull,
        value: dict[str, Any] | None,
        now: Instant,
    ) -> list[Effect]:
        version = answer.version
        if value is None or compute_digest(value) != answer.digest:
            damaged = CONFIGURATION_DAMAGED.emit(version=version, sender=sender)
            return [damaged, self._make_poll(sender, digest=UNKNOWN_DIGEST)]
        document = check_document(value)
        if not isinstance(document, ConfigurationDocument):
            detail = f"{document[0].path}: got {document[0].got}, allowed {document[0].allowed}"
            return [CONFIGURATION_INVALID.emit(version=version, detail=detail)]
        self.window.add_version(version, value)
        effects: list[Effect] = [
            ConfigurationApplied(version, document),
            CONFIGURATION_IN_FORCE.emit(version=version, sender=sender),
        ]
        if self.relay is not None and self.view is not None:
            return effects + self.relay.push_version(self.view, self.window, now)
        return effects + self._acknowledge_to_relay()

    def _acknowledge_to_relay(self) -> list[Effect]:
        if self.relay_name is None or self.relay is not None:
            return []
        return [Send(self.relay_name, ConfigurationAck(self.applied_configuration()))]

    def _handle_deadlines(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        if not self.gate.is_serving and now >= self.gate.next_sync_at:
            self.gate.next_sync_at = Instant(now + self.settings.sync_seconds)
            effects += [self._make_poll(target) for target in self._select_sync_targets()]
        if now >= self.next_poll_at:
            self.next_poll_at = Instant(now + self.settings.poll_seconds)
            effects += self._poll_periodically(now)
        if self.relay is not None and self.view is not None:
            effects += self._handle_relay_deadlines(self.relay, self.view, now)
        return effects

    def _handle_relay_deadlines(
        self, relay: ConfigurationRelay, view: View, now: Instant
    ) -> list[Effect]:
        effects: list[Effect] = []
        if relay.resend_at is not None and now >= relay.resend_at:
            effects += relay.push_version(view, self.window, now)
        if now < relay.report_at and not relay.is_fully_confirmed:
            return effects
        relay.report_at = Instant(now + self.settings.report_seconds)
        relay.is_fully_confirmed = False
        report = relay.make_report(view, self.window, self.highest_epoch, now)
        return effects + [
            self._make_report_for(member, relay, report) for member in self.control_instances
        ]

    def _make_report_for(
        self, member: InstanceId, relay: ConfigurationRelay, report: DataCentreReport
    ) -> Effect:
        if relay.named_epochs.get(member) == report.epoch or self.view is None:
            return Send(member, report)
        names = tuple(item.instance for item in self.view.members)
        return Send(member, msgspec.structs.replace(report, member_names=names))

    def _select_sync_targets(self) -> list[InstanceId]:
        home = self.self_member.data_centre
        members = self.view.members if self.view is not None else self.peers
        at_home = [item.instance for item in members if item.data_centre == home]
        missing = [name for name in at_home if name not in self.gate.retaining_members]
        others = [name for name in missing if name != self.self_member.instance]
        asked = self.random.sample(others, min(len(others), self.settings.sync_fan_out))
        return asked + self.random.sample(
            self.control_instances, min(CONTROL_FAN_OUT, len(self.control_instances))
        )

    def _poll_periodically(self, now: Instant) -> list[Effect]:
        effects = [] if self.relay is not None else self._poll_relay()
        quiet = now - self.last_relay_contact > RELAY_TIMEOUT_POLLS * self.settings.poll_seconds
        if effects and not quiet:
            return effects
        choices = [tuple(peer.instance for peer in self.peers), self.control_instances]
        return effects + [self._make_poll(self.random.choice(names)) for names in choices if names]

    def _poll_relay(self) -> list[Effect]:
        return [] if self.relay_name is None else [self._make_poll(self.relay_name)]

    def _make_poll(self, target: InstanceId, digest: int | None = None) -> Effect:
        standing = self.applied_configuration()
        if digest is not None:
            standing = msgspec.structs.replace(standing, digest=digest)
        token = self.gate.poll_token
        home = self.self_member.data_centre
        epoch = self.gate.epoch
        return Send(target, ConfigurationPoll(token, home, epoch, bool(token), standing))


def _decode_object(data: bytes) -> dict[str, Any] | None:
    try:
        value = decode_value(data)
    except (msgspec.DecodeError, RecursionError):
        return None
    return value if isinstance(value, dict) else None
