"""Ways to choose an upstream and to bound its work, behind one interface, for comparison."""

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
WARM_SECONDS = 100.0


@dataclass(frozen=True, slots=True)
class Request:
    """One request of the load."""

    name: str
    priority: Priority
    arrived: float
    deadline: float
    entry: int


Start = Callable[[Request, UpstreamId, float, float], None]
End = Callable[[Request, bool, float], None]


def make_upstreams(count: int, slots: int) -> tuple[Upstream, ...]:
    """Return ready upstreams of one service."""
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
    """Return a view of some balancers."""
    endpoint = Endpoint("127.0.0.1", 1)
    return View(
        DATA_CENTRE,
        Epoch(1),
        tuple(
            Member(InstanceId(f"b{n}"), Incarnation(1), DATA_CENTRE, endpoint, endpoint)
            for n in range(count)
        ),
    )


class Dispatched:
    """The product's chooser and dispatchers; `early` switches early refusal off for comparison."""

    def __init__(
        self,
        balancers: int,
        upstreams: tuple[Upstream, ...],
        random: Random,
        start: Start,
        end: End,
        early: bool = True,
    ) -> None:
        self.start, self.end, self.early = start, end, early
        self.view = make_view(balancers)
        self.requests: dict[str, Request] = {}
        self.where: dict[str, InstanceId] = {}
        self.tries: dict[str, set[UpstreamId]] = {}
        settings = DispatcherSettings()
        self.machines = {
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
        for machine in self.machines.values():
            for event in (ViewChanged(self.view), LeaseChanged(FOREVER), changed):
                machine.handle(event, Instant(0.0))

    def arrive(self, request: Request, now: float) -> None:
        """Take a request at its entry balancer."""
        self.requests[request.name] = request
        self.tries[request.name] = set()
        self._send(request, now)

    def ended(self, request: Request, upstream: UpstreamId, is_whole: bool, now: float) -> None:
        """Take the end of an exchange."""
        machine = self.where.pop(request.name)
        outcome = DispatchOutcome.RESPONDED if is_whole else DispatchOutcome.UNKNOWN
        response = RESPONSE if is_whole else None
        event = ExchangeEnded(AttemptId(request.name), outcome, "", response)
        self._carry_out(self.machines[machine].handle(event, Instant(now)), now)

    def tick(self, now: float) -> None:
        """Let deadlines pass."""
        for machine in self.machines.values():
            deadline = machine.next_deadline()
            if deadline is not None and deadline <= now:
                self._carry_out(machine.handle(Tick(), Instant(now)), now)

    def _send(self, request: Request, now: float) -> None:
        chooser = self.choosers[request.entry]
        chosen = chooser.choose(SERVICE, self.tries[request.name], Instant(now))
        if not isinstance(chosen, Upstream):
            self.end(request, False, now)
            return
        self.tries[request.name].add(chosen.upstream)
        dispatcher = dispatcher_of(self.view, chosen.upstream)
        assert dispatcher is not None
        remaining = request.deadline - now if self.early else 1_000.0
        message = DispatchRequest(
            AttemptId(request.name),
            SERVICE,
            chosen.upstream,
            request.priority,
            int(remaining * 1000),
            REQUEST,
        )
        self.where[request.name] = dispatcher.instance
        entry = InstanceId(f"b{request.entry}")
        machine = self.machines[dispatcher.instance]
        self._carry_out(machine.handle(Received(entry, message), Instant(now)), now)

    def _carry_out(self, effects: list, now: float) -> None:
        for effect in effects:
            if isinstance(effect, StartExchange):
                request = self.requests[effect.attempt]
                self.start(request, effect.upstream.upstream, effect.deadline, now)
            elif isinstance(getattr(effect, "message", None), DispatchReply):
                self._answered(effect.message, now)

    def _answered(self, answer: DispatchReply, now: float) -> None:
        request = self.requests.pop(answer.attempt)
        self.choosers[request.entry].observe(answer, Instant(now))
        self.end(request, answer.outcome is DispatchOutcome.RESPONDED, now)


class Guessing:
    """Each entry balancer sends to the upstream of its choice, which queues by arrival.

    `reports` is the age of the loads it chooses by; without reports it chooses at random.
    """

    def __init__(
        self,
        balancers: int,
        upstreams: tuple[Upstream, ...],
        random: Random,
        start: Start,
        end: End,
        reports: float | None = None,
    ) -> None:
        self.upstreams, self.random = upstreams, random
        self.start, self.end, self.reports = start, end, reports
        self.running = dict.fromkeys((u.upstream for u in upstreams), 0)
        self.seen = dict(self.running)
        self.seen_at = 0.0

    def arrive(self, request: Request, now: float) -> None:
        """Send a request at once."""
        names = [upstream.upstream for upstream in self.upstreams]
        if self.reports is not None:
            if now - self.seen_at >= self.reports:
                self.seen, self.seen_at = dict(self.running), now
            least = min(self.seen.values())
            names = [name for name in names if self.seen[name] == least]
        chosen = self.random.choice(names)
        self.running[chosen] += 1
        self.start(request, chosen, FOREVER, now)

    def ended(self, request: Request, upstream: UpstreamId, is_whole: bool, now: float) -> None:
        """Take the end of an exchange."""
        self.running[upstream] -= 1
        self.end(request, True, now)

    def tick(self, now: float) -> None:
        """Guessing has no deadlines."""


class Heap:
    """Events in order of time."""

    def __init__(self) -> None:
        self.items: list = []
        self.count = 0

    def push(self, at: float, item: tuple) -> None:
        """Add an event."""
        self.count += 1
        heapq.heappush(self.items, (at, self.count, item))

    def pop(self) -> tuple:
        """Take the earliest event."""
        at, _, item = heapq.heappop(self.items)
        return at, item
