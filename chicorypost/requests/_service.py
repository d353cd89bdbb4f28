"""One state machine for all of a balancer's requests: entry, owner, backup and runner."""

from random import Random
from typing import Any

from chicorypost.base import Effect, Event, Instant, Member, WallTime
from chicorypost.requests._interface import Chooser
from chicorypost.requests._settings import RequestSettings


class RequestService:
    """State machine of requests on one balancer.

    Takes `RequestArrived`, `CallerGone`, `WallClockRead`, `Received` (tags 600-699 and
    `DispatchAnswer`), `ViewChanged` of every data centre, `LeaseChanged`, `ConfigurationApplied`,
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
        self.settings = settings
        self.member = member
        self.chooser = chooser
        self.random = random
        self.started = now

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        raise NotImplementedError

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""
        raise NotImplementedError

    @property
    def idle(self) -> bool:
        """Whether a drained balancer may leave the view without cutting a request."""
        raise NotImplementedError

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        raise NotImplementedError
