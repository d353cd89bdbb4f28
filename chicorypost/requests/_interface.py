"""Events and effects of the request machines."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from chicorypost.base import (
    Effect,
    Event,
    Instant,
    RequestKey,
    ServiceId,
    Upstream,
    UpstreamId,
    WallTime,
)
from chicorypost.configuration import Priority
from chicorypost.upstreams import DispatchReply, HttpRequest, HttpResponse, NoUpstream


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A whole request arrived from a caller.

    Parameters
    ----------
    ticket : int
        Number by which the driver knows the caller's connection; not reused.
    request : HttpRequest
        The request, to be passed on as it is.
    service : ServiceId
        The service that the address and host stand for.
    key : RequestKey or None
        Value of the Idempotency-Key header.
    deadline : Instant
        When the caller must have an outcome.
    wall : WallTime
        Current wall-clock time.
    priority : Priority
        Priority class.
    """

    ticket: int
    request: HttpRequest
    service: ServiceId
    key: RequestKey | None
    deadline: Instant
    wall: WallTime
    priority: Priority


@dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The caller's connection ended before it had a response."""

    ticket: int


@dataclass(frozen=True, slots=True)
class WallClockRead(Event):
    """The driver read the wall clock; wanted at the start and once a second."""

    wall: WallTime


@dataclass(frozen=True, slots=True)
class Respond(Effect):
    """Send a whole response to a caller: exactly once per ticket, none after `CallerGone`."""

    ticket: int
    response: HttpResponse


class Chooser(Protocol):
    """What the request machines need of `UpstreamChooser`."""

    def choose(
        self, service: ServiceId, excluded: Collection[UpstreamId], now: Instant
    ) -> Upstream | NoUpstream:
        """Choose an upstream."""

    def observe(self, answer: DispatchReply, now: Instant) -> list[Effect]:
        """Learn from an answer."""
