"""One state machine for all of a balancer's requests: entry, owner, backup and runner."""

from random import Random
from typing import Any

from chicorypost.base import (
    Effect,
    Event,
    Instant,
    LeaseChanged,
    Member,
    Received,
    Tick,
    View,
    ViewChanged,
    WallTime,
)
from chicorypost.configuration import ConfigurationApplied
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._entry import RequestEntry
from chicorypost.requests._interface import CallerGone, Chooser, RequestArrived, WallClockRead
from chicorypost.requests._messages import (
    AttemptClosed,
    AttemptQuery,
    AttemptResult,
    BackupSyncRequest,
    CopyReleased,
    CopyReleaseQuery,
    OwnerAccepted,
    OwnerAnswer,
    OwnerCancel,
    OwnerRequest,
    PartitionCopy,
    PartitionCopyAck,
    PartitionFetch,
    PartitionQuery,
    PartitionReply,
    RecordAck,
    RecordUpdate,
    RunAccepted,
    RunAttempt,
    RunCancel,
)
from chicorypost.requests._owner import RequestOwner
from chicorypost.requests._replicas import PartitionReplicas
from chicorypost.requests._runner import AttemptRunner
from chicorypost.requests._settings import RequestSettings
from chicorypost.upstreams import DispatchReply, Drain

OWNER_MESSAGES = (OwnerRequest, OwnerCancel, RecordAck, RunAccepted, AttemptResult)
RUNNER_MESSAGES = (RunAttempt, RunCancel, AttemptQuery, AttemptClosed)
REPLICA_MESSAGES = (
    BackupSyncRequest,
    CopyReleased,
    CopyReleaseQuery,
    PartitionCopy,
    PartitionCopyAck,
    PartitionFetch,
    PartitionQuery,
    PartitionReply,
    RecordUpdate,
)
REQUEST_MESSAGES = (
    OwnerAccepted,
    OwnerAnswer,
    DispatchReply,
    *OWNER_MESSAGES,
    *RUNNER_MESSAGES,
    *REPLICA_MESSAGES,
)
"""Messages that a driver hands to `RequestService`."""

REQUEST_EVENTS = (
    RequestArrived,
    CallerGone,
    WallClockRead,
    ViewChanged,
    LeaseChanged,
    ConfigurationApplied,
    Drain,
)
"""Events, besides `Received` and `Tick`, that a driver hands to `RequestService`."""


class RequestService:
    """State machine of requests on one balancer.

    Takes `RequestArrived`, `CallerGone`, `WallClockRead`, `Received` (tags 600-699 and
    `DispatchReply`), `ViewChanged` of every data centre, `LeaseChanged`, `ConfigurationApplied`,
    `Drain` and `Tick`; gives `Send` (also to this instance itself: the driver loops these back),
    `Respond` and `Emit`.

    Parameters
    ----------
    settings : RequestSettings
        Bounds and intervals.
    member : Member
        This balancer.
    chooser : Chooser
        Choice of an upstream; the driver feeds it `UpstreamsChanged`, this machine the answers.
    random : random.Random
        Source of randomness.
    now : Instant
        Time of the start.
    wall : WallTime
        Wall-clock time of the start.
    """

    def __init__(
        self,
        settings: RequestSettings,
        member: Member,
        chooser: Chooser,
        random: Random,
        now: Instant,
        wall: WallTime,
    ) -> None:
        self.context = BalancerContext(settings, member, now, wall)
        self.chooser = chooser
        self.random = random
        self.entry = RequestEntry(self.context, chooser)
        self.replicas = PartitionReplicas(self.context)
        self.owner = RequestOwner(self.context, self.replicas, chooser)
        self.runner = AttemptRunner(self.context)

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        self.context.update_lease_state(now)
        match event:
            case Received():
                return self._receive(event, now)
            case Tick():
                return self._tick(now)
            case RequestArrived(wall=wall):
                self.context.update_wall_clock(wall, now)
                return self.entry.accept_request(event, now)
            case CallerGone(ticket=ticket):
                return self.entry.handle_caller_gone(ticket)
            case WallClockRead(wall=wall):
                self.context.update_wall_clock(wall, now)
            case LeaseChanged(end=end):
                self.context.set_lease(end, now)
            case ViewChanged(view=view):
                return self._change_view(view, now)
            case ConfigurationApplied(document=document):
                self.context.configuration = document
                self.entry.budget.retain_services(set(document.services))
            case Drain():
                self.context.is_draining = True
        return []

    def _receive(self, event: Received, now: Instant) -> list[Effect]:
        sender, message = event.sender, event.message
        match message:
            case OwnerAccepted():
                return self.entry.handle_owner_accepted(message)
            case OwnerAnswer():
                return self.entry.handle_owner_reply(sender, message, now)
            case DispatchReply():
                effects = self.chooser.observe(message, now)
                ran = self.runner.handle_dispatch_reply(message, now)
                if ran is None:
                    ran = self.entry.handle_dispatch_reply(sender, message, now)
                return effects + ran
        if isinstance(message, OWNER_MESSAGES):
            return self.owner.handle_message(sender, message, now)
        if isinstance(message, RUNNER_MESSAGES):
            return self.runner.handle_message(sender, message, now)
        if isinstance(message, REPLICA_MESSAGES):
            effects = self.replicas.handle_message(sender, message, now)
            return effects + self.owner.take_over_partitions(now)
        return []

    def _change_view(self, view: View, now: Instant) -> list[Effect]:
        former = self.context.own_placement()
        if not self.context.install_view(view):
            return []
        effects: list[Effect] = []
        current = self.context.own_placement()
        if current is not None and current is not former:
            effects += self.replicas.change_view(former, current, now)
        effects += self.owner.change_view(now)
        effects += self.runner.change_view(now)
        return effects + self.entry.change_view(now)

    def _tick(self, now: Instant) -> list[Effect]:
        effects = self.replicas.tick(now)
        effects += self.owner.take_over_partitions(now)
        effects += self.owner.tick(now)
        effects += self.runner.tick(now)
        return effects + self.entry.tick(now)

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""
        parts = (self.entry, self.owner, self.runner, self.replicas)
        deadlines = [part.next_deadline() for part in parts]
        return min((at for at in deadlines if at is not None), default=None)

    @property
    def is_idle(self) -> bool:
        """Whether a drained balancer may leave the view without cutting a request."""
        parts = (self.entry, self.owner, self.runner, self.replicas)
        return self.context.is_draining and all(part.is_idle for part in parts)

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "draining": self.context.is_draining,
            "lease_end": self.context.lease_end,
            "entry": self.entry.dump(),
            "owner": self.owner.dump(),
            "replicas": self.replicas.dump(),
            "runner": self.runner.dump(),
        }
