"""Policies that choose an upstream and limit its work, behind one interface, for comparison."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from chicorypost.base import (
    AttemptId,
    DataCentreId,
    Endpoint,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    Received,
    ServiceId,
    Tick,
    Upstream,
    UpstreamId,
    UpstreamsChanged,
    UpstreamState,
    View,
    ViewChanged,
)
from chicorypost.configuration import Priority
from chicorypost.upstreams import (
    ChooserSettings,
    DispatcherSettings,
    DispatchOutcome,
    DispatchReply,
    DispatchRequest,
    ExchangeEnded,
    HttpRequest,
    HttpResponse,
    RequestDispatcher,
    StartExchange,
    UpstreamChooser,
    dispatcher_of,
)

SERVICE = ServiceId("orders")
DATA_CENTRE = DataCentreId("one")
REQUEST = HttpRequest("POST", "/", (), b"")
RESPONSE = HttpResponse(200, (), b"")
FOREVER = Instant(1e12)
WARM_UP_SECONDS = 100.0


@dataclass(frozen=True, slots=True)
class Request:
    """One request of the generated load."""

    name: str
    priority: Priority
    arrived_at: float
    deadline: float
    entry_balancer: int


StartCallback = Callable[[Request, UpstreamId, float, float], None]
EndCallback = Callable[[Request, bool, float], None]


def make_upstreams(count: int, slots: int) -> tuple[Upstream, ...]:
    """Return a number of ready upstreams of one service."""
    return tuple(
        Upstream(
            UpstreamId(f"u{number}"),
            Incarnation(1),
            SERVICE,
            DATA_CENTRE,
            Endpoint("10.0.0.1", number + 1),
            Endpoint("10.0.0.1", number + 1),
            slots,
            4_000,
            UpstreamState.READY,
        )
        for number in range(count)
    )


def make_view(count: int) -> View:
    """Return a view with a number of balancers."""
    endpoint = Endpoint("127.0.0.1", 1)
    return View(
        DATA_CENTRE,
        Epoch(1),
        tuple(
            Member(InstanceId(f"b{n}"), Incarnation(1), DATA_CENTRE, endpoint, endpoint)
            for n in range(count)
        ),
    )


class DispatcherPolicy:
    """Chooser and dispatchers of chicorypost, with or without early refusal.

    Without early refusal (`refuses_early` is false), the dispatcher receives a deadline so late
    that it never refuses a request for lack of time.
    """

    def __init__(
        self,
        balancers: int,
        upstreams: tuple[Upstream, ...],
        random: Random,
        start: StartCallback,
        end: EndCallback,
        refuses_early: bool = True,
    ) -> None:
        self.start_exchange, self.end_request, self.refuses_early = start, end, refuses_early
        self.view = make_view(balancers)
        self.requests: dict[str, Request] = {}
        self.dispatcher_by_request: dict[str, InstanceId] = {}
        self.tried_upstreams: dict[str, set[UpstreamId]] = {}
        settings = DispatcherSettings()
        self.dispatchers = {
            member.instance: RequestDispatcher(settings, member, Instant(0.0))
            for member in self.view.members
        }
        changed = UpstreamsChanged(upstreams, ())
        chooser_settings = ChooserSettings(slow_start_seconds=0)
        self.choosers = [
            UpstreamChooser(chooser_settings, Random(random.random())) for _ in range(balancers)
        ]
        for chooser in self.choosers:
            chooser.handle(changed, Instant(0.0))
        for dispatcher in self.dispatchers.values():
            for event in (ViewChanged(self.view), LeaseChanged(FOREVER), changed):
                dispatcher.handle(event, Instant(0.0))

    def accept_request(self, request: Request, now: float) -> None:
        """Dispatch a request that arrives at its entry balancer."""
        self.requests[request.name] = request
        self.tried_upstreams[request.name] = set()
        self._dispatch_request(request, now)

    def end_exchange(
        self, request: Request, upstream: UpstreamId, is_complete: bool, now: float
    ) -> None:
        """Report the end of an exchange to its dispatcher."""
        instance = self.dispatcher_by_request.pop(request.name)
        outcome = DispatchOutcome.RESPONDED if is_complete else DispatchOutcome.UNKNOWN
        response = RESPONSE if is_complete else None
        event = ExchangeEnded(AttemptId(request.name), outcome, "", response)
        self._apply_effects(self.dispatchers[instance].handle(event, Instant(now)), now)

    def handle_deadlines(self, now: float) -> None:
        """Send a tick to each dispatcher with a due deadline."""
        for dispatcher in self.dispatchers.values():
            deadline = dispatcher.next_deadline()
            if deadline is not None and deadline <= now:
                self._apply_effects(dispatcher.handle(Tick(), Instant(now)), now)

    def _dispatch_request(self, request: Request, now: float) -> None:
        chooser = self.choosers[request.entry_balancer]
        chosen = chooser.choose(SERVICE, self.tried_upstreams[request.name], Instant(now))
        if not isinstance(chosen, Upstream):
            self.end_request(request, False, now)
            return
        self.tried_upstreams[request.name].add(chosen.upstream)
        member = dispatcher_of(self.view, chosen.upstream)
        assert member is not None
        remaining = request.deadline - now if self.refuses_early else 1_000.0
        message = DispatchRequest(
            AttemptId(request.name),
            SERVICE,
            chosen.upstream,
            request.priority,
            int(remaining * 1000),
            REQUEST,
        )
        self.dispatcher_by_request[request.name] = member.instance
        entry = InstanceId(f"b{request.entry_balancer}")
        dispatcher = self.dispatchers[member.instance]
        self._apply_effects(dispatcher.handle(Received(entry, message), Instant(now)), now)

    def _apply_effects(self, effects: list, now: float) -> None:
        for effect in effects:
            if isinstance(effect, StartExchange):
                request = self.requests[effect.attempt]
                self.start_exchange(request, effect.upstream.upstream, effect.deadline, now)
            elif isinstance(getattr(effect, "message", None), DispatchReply):
                self._handle_reply(effect.message, now)

    def _handle_reply(self, reply: DispatchReply, now: float) -> None:
        request = self.requests.pop(reply.attempt)
        self.choosers[request.entry_balancer].observe(reply, Instant(now))
        self.end_request(request, reply.outcome is DispatchOutcome.RESPONDED, now)


class DirectChoicePolicy:
    """Each entry balancer sends directly to the upstream that it chooses, without a slot limit.

    It chooses the least loaded by counts that are refreshed every `report_interval_seconds`, or at
    random when that is None.
    """

    def __init__(
        self,
        balancers: int,
        upstreams: tuple[Upstream, ...],
        random: Random,
        start: StartCallback,
        end: EndCallback,
        report_interval_seconds: float | None = None,
    ) -> None:
        self.upstreams, self.random = upstreams, random
        self.start_exchange, self.end_request, self.report_interval_seconds = (
            start,
            end,
            report_interval_seconds,
        )
        self.running_counts = dict.fromkeys((u.upstream for u in upstreams), 0)
        self.reported_counts = dict(self.running_counts)
        self.reported_at = 0.0

    def accept_request(self, request: Request, now: float) -> None:
        """Choose an upstream and start the exchange immediately."""
        candidates = [upstream.upstream for upstream in self.upstreams]
        if self.report_interval_seconds is not None:
            if now - self.reported_at >= self.report_interval_seconds:
                self.reported_counts, self.reported_at = dict(self.running_counts), now
            least = min(self.reported_counts.values())
            candidates = [name for name in candidates if self.reported_counts[name] == least]
        chosen = self.random.choice(candidates)
        self.running_counts[chosen] += 1
        self.start_exchange(request, chosen, FOREVER, now)

    def end_exchange(
        self, request: Request, upstream: UpstreamId, is_complete: bool, now: float
    ) -> None:
        """Record the end of an exchange and end its request."""
        self.running_counts[upstream] -= 1
        self.end_request(request, True, now)

    def handle_deadlines(self, now: float) -> None:
        """Do nothing: the policy has no deadlines."""


class EventQueue:
    """Priority queue of events, ordered by time and then by insertion."""

    def __init__(self) -> None:
        self.items: list = []
        self.count = 0

    def push_event(self, at: float, item: tuple) -> None:
        """Add an event at a time in seconds."""
        self.count += 1
        heapq.heappush(self.items, (at, self.count, item))

    def pop_event(self) -> tuple:
        """Remove the earliest event and return its time and item."""
        at, _, item = heapq.heappop(self.items)
        return at, item
