"""Dispatcher of upstreams: one per upstream, never more exchanges than slots."""

from dataclasses import dataclass
from typing import Any

from chicorypost.base import (
    AttemptId,
    Effect,
    Event,
    Instant,
    Member,
    Upstream,
)
from chicorypost.upstreams._messages import DispatchOutcome, HttpRequest, HttpResponse
from chicorypost.upstreams._settings import DispatcherSettings


@dataclass(frozen=True, slots=True)
class StartExchange(Effect):
    """Send a request to an upstream and report with `ExchangeEnded` by the deadline at the latest.

    The driver asks `may_act` once more before the first byte; if it may not, nothing is sent and
    the exchange ends as NOT_STARTED.
    """

    attempt: AttemptId
    upstream: Upstream
    request: HttpRequest
    deadline: Instant


@dataclass(frozen=True, slots=True)
class CancelExchange(Effect):
    """Cancel a running exchange at its upstream; it still ends with `ExchangeEnded`."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class ExchangeEnded(Event):
    """An exchange has ended: the upstream runs nothing of it any more."""

    attempt: AttemptId
    outcome: DispatchOutcome
    reason: str
    response: HttpResponse | None


@dataclass(frozen=True, slots=True)
class Drain(Event):
    """Take no new attempts, finish what runs and hand the upstreams over: a graceful stop."""


class Dispatcher:
    """State machine of the balancer that dispatches to some upstreams.

    Takes `Received` (`DispatchRequest`, `DispatchCancel`, handovers), `ExchangeEnded`,
    `ViewChanged`, `LeaseChanged`, `UpstreamsChanged`, `ConfigurationApplied`, `Drain` and `Tick`;
    gives `StartExchange`, `CancelExchange`, `Send` and `Emit`.
    """

    def __init__(self, settings: DispatcherSettings, self_member: Member, now: Instant) -> None:
        self.settings = settings
        self.self_member = self_member
        self.started = now

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        raise NotImplementedError

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""
        raise NotImplementedError

    @property
    def idle(self) -> bool:
        """Whether nothing runs, nothing waits and every handover is acknowledged."""
        raise NotImplementedError

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        raise NotImplementedError
