"""Clients, balancers and upstreams as events in simulated time; the routers are the real ones."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from benchmarks.load_model.policies import POLICIES
from chicorypost.announcements import (
    AnnouncedStatus,
    Announcement,
    RoutingApplied,
    VisibleUpstream,
    VisibleUpstreamsChanged,
)
from chicorypost.base import (
    Address,
    DataCentreId,
    Endpoint,
    FlowKey,
    Instant,
    ServiceId,
    Tick,
    UpstreamId,
    Version,
)
from chicorypost.cookies import CookiePacket, CookieRouter, CookieSettings, ForwardPacket
from chicorypost.routing import (
    Retryability,
    Route,
    RoutingDocument,
    ServiceSpec,
    WeightedService,
)

SERVICE = ServiceId("s")
ADDRESS = Address("1:1")
ONE_WAY_SECONDS = 0.002
"""One way from a client to an upstream or back."""
OPENING_COPY_SECONDS = (0.2, 0.6, 1.4)
"""When a client sends copies of its opening, and when it gives up."""
SILENCE_TIMEOUT_SECONDS = 2.5
"""After this time without a call, balancers are told that an upstream is silent."""


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """Size and load of a model; times in seconds.

    `rate` is requests a second in all; a flow carries `requests_per_flow` of them on average.
    """

    balancers: int = 21
    data_centres: int = 3
    upstreams: int = 7
    slots: int = 3
    queue: int = 12
    rate: float = 190.0
    work_seconds: float = 0.058
    requests_per_flow: int = 4
    pause_seconds: float = 0.1
    aim_seconds: float = 0.25
    deadline_seconds: float = 2.5
    seconds: float = 20.0


@dataclass(slots=True)
class ModelUpstream:
    """One upstream: slots, queue, and what is wrong with it."""

    number: int
    data_centre: DataCentreId
    running_requests: int = 0
    queued_work: deque[Callable[[], None]] = field(default_factory=deque)
    flows: set[FlowKey] = field(default_factory=set)
    is_dead: bool = False
    slowdown_factor: float = 1.0
    refusal_share: float = 0.0
    """Share of its requests that it refuses at once, while it looks healthy."""
    is_hung: bool = False
    """Whether it takes requests and answers none."""
    generation: int = 0
    """Counts its starts; flows of an earlier one are lost."""
    status: AnnouncedStatus = AnnouncedStatus.READY
    is_silent: bool = False
    served_requests: int = 0

    @property
    def name(self) -> UpstreamId:
        """Name as balancers know it."""
        return UpstreamId(f"u{self.number}")


@dataclass(slots=True)
class LoadResult:
    """What clients saw."""

    sent_requests: int = 0
    latencies: list[float] = field(default_factory=list)
    failed_requests: int = 0

    def share_within(self, seconds: float) -> float:
        """Return the share of the requests that were answered within a time."""
        return sum(latency <= seconds for latency in self.latencies) / max(1, self.sent_requests)


class LoadModel:
    """One run.

    Parameters
    ----------
    settings : ModelSettings
        Size and load.
    way : str
        Key of `WAYS`.
    seed : int
        Source of all randomness.
    """

    def __init__(self, settings: ModelSettings, policy: str, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0.0
        self.event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self.event_number = 0
        self.result = LoadResult()
        self.isolated_data_centre: DataCentreId | None = None
        self.rate_factor: Callable[[float], float] = lambda now: 1.0
        self.flow_count = 0
        places = [DataCentreId(f"d{n}") for n in range(settings.data_centres)]
        self.upstreams = [
            ModelUpstream(n, places[n % len(places)]) for n in range(settings.upstreams)
        ]
        self.balancer_data_centres = [places[n % len(places)] for n in range(settings.balancers)]
        self.routers = [self._make_router(place, policy) for place in self.balancer_data_centres]
        self.update_balancers()

    def _make_router(self, place: DataCentreId, way: str) -> CookieRouter:
        settings, random = CookieSettings(), Random(self.random.getrandbits(32))
        router = CookieRouter(settings, place, random, Instant(0.0))
        maker = POLICIES[way]
        router.chooser = maker(settings, place, router.tracker, router.suspected_upstreams, random)
        shares = (WeightedService(SERVICE, 1),)
        route = Route("r", ADDRESS, shares, Retryability.IDEMPOTENT, 1000, 100, 1)
        document = RoutingDocument(Version(1), (route,), (ServiceSpec(SERVICE, "/", 10),), 15.0)
        router.handle(RoutingApplied(document), Instant(0.0))
        return router

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""
        self.event_number += 1
        heapq.heappush(self.event_queue, (self.now + seconds, self.event_number, action))

    def update_balancers(self) -> None:
        """Give every balancer what control instances know now."""
        seen = tuple(self._make_visible_upstream(item) for item in self.upstreams)
        for router in self.routers:
            router.handle(VisibleUpstreamsChanged(seen), Instant(self.now))

    def _make_visible_upstream(self, item: ModelUpstream) -> VisibleUpstream:
        call = Announcement(
            item.name,
            1,
            1,
            SERVICE,
            item.data_centre,
            Endpoint(f"10.0.0.{item.number + 1}", 80),
            item.number + 1,
            self.settings.slots,
            item.status,
            0,
        )
        return VisibleUpstream(call, item.is_silent, Instant(0.0))

    def add_upstream(self) -> ModelUpstream:
        """Add an empty upstream and announce it."""
        number = len(self.upstreams)
        place = self.upstreams[number % self.settings.data_centres].data_centre
        self.upstreams.append(ModelUpstream(number, place))
        self.update_balancers()
        return self.upstreams[-1]

    def kill(self, item: ModelUpstream) -> None:
        """End an upstream without a word; control instances notice in time."""
        item.is_dead = True

        def notice() -> None:
            item.is_silent = True
            self.update_balancers()

        self.schedule(SILENCE_TIMEOUT_SECONDS, notice)

    def flap(self, item: ModelUpstream, down_seconds: float) -> None:
        """End an upstream without a word and start it again, too soon for anyone to notice."""
        item.is_dead = True
        item.generation += 1
        item.running_requests = 0
        item.queued_work.clear()

        def start() -> None:
            item.is_dead = False

        self.schedule(down_seconds, start)

    def run(self) -> LoadResult:
        """Play until the end and return what clients saw."""
        self._start_flow()
        self._send_ticks()
        while self.event_queue:
            self.now, _, action = heapq.heappop(self.event_queue)
            action()
        return self.result

    def _send_ticks(self) -> None:
        for router in self.routers:
            router.handle(Tick(), Instant(self.now))
        if self.now < self.settings.seconds:
            self.schedule(0.5, self._send_ticks)

    def _start_flow(self) -> None:
        """Start a flow and plan the next arrival."""
        if self.now >= self.settings.seconds:
            return
        rate = self.settings.rate / self.settings.requests_per_flow
        self.schedule(self.random.expovariate(rate * self.rate_factor(self.now)), self._start_flow)
        self.flow_count += 1
        key = FlowKey(self.flow_count.to_bytes(12, "big"))
        number = self.random.randrange(len(self.routers))
        requests = 1 + min(20, int(self.random.expovariate(1 / self.settings.requests_per_flow)))
        ModelFlow(self, key, number, requests).open()


class ModelFlow:
    """One flow of a client: opened with copies, then requests one after another."""

    def __init__(self, model: LoadModel, key: FlowKey, balancer: int, requests: int) -> None:
        self.model = model
        self.key = key
        self.router = model.routers[balancer]
        self.data_centre = model.balancer_data_centres[balancer]
        self.remaining_requests = requests
        self.cookie = 0
        self.acknowledged = 0
        self.upstream_generation = 0
        self.request_sent_at = 0.0
        self.is_done = False

    def open(self) -> None:
        """Send the opening and plan its copies; the first request counts from here."""
        self._count_request()
        for copies, seconds in enumerate((0.0, *OPENING_COPY_SECONDS[:-1])):
            self.model.schedule(seconds, partial(self._send_opening, copies))
        self.model.schedule(OPENING_COPY_SECONDS[-1], self._give_up_opening)

    def _count_request(self) -> None:
        self.model.result.sent_requests += 1
        self.request_sent_at = self.model.now

    def _send_opening(self, copies: int) -> None:
        if self.cookie or self.is_done:
            return
        packet = CookiePacket(self.key, ADDRESS, True, False, False, copies, 0, 0)
        decision = self.router.route(packet, Instant(self.model.now))
        if not isinstance(decision, ForwardPacket):
            self._fail()
            return
        item = self._find_upstream(decision.upstream)
        if self._is_reachable(item):
            cookie = decision.cookie or 0
            self.model.schedule(2 * ONE_WAY_SECONDS, lambda: self._complete_opening(item, cookie))

    def _find_upstream(self, name: UpstreamId) -> ModelUpstream:
        return self.model.upstreams[int(name[1:])]

    def _is_reachable(self, item: ModelUpstream) -> bool:
        cut = self.model.isolated_data_centre
        is_across = cut is not None and (item.data_centre == cut) != (self.data_centre == cut)
        return not item.is_dead and not is_across

    def _complete_opening(self, item: ModelUpstream, cookie: int) -> None:
        if self.cookie or self.is_done:
            return
        self.cookie, self.acknowledged = cookie, 1
        self.upstream_generation = item.generation
        item.flows.add(self.key)
        self._send_request()

    def _give_up_opening(self) -> None:
        if not self.cookie and not self.is_done:
            self._fail()

    def _send_request(self) -> None:
        packet = CookiePacket(
            self.key, ADDRESS, False, False, False, self.acknowledged, 500, self.cookie
        )
        decision = self.router.route(packet, Instant(self.model.now))
        left = self.request_sent_at + self.model.settings.deadline_seconds - self.model.now
        number = self.remaining_requests
        self.model.schedule(max(0.0, left), lambda: self._fail_if_unanswered(number))
        if isinstance(decision, ForwardPacket):
            item = self._find_upstream(decision.upstream)
            if self._is_reachable(item):
                self._deliver_request(item)

    def _deliver_request(self, item: ModelUpstream) -> None:
        refuses = item.refusal_share > 0.0 and self.model.random.random() < item.refusal_share
        if refuses or item.generation != self.upstream_generation:
            self._fail()
        elif not item.is_hung:
            self._process_request(item)

    def _process_request(self, item: ModelUpstream) -> None:
        settings = self.model.settings
        if item.running_requests >= settings.slots:
            if len(item.queued_work) >= settings.queue:
                self._fail()
            else:
                item.queued_work.append(lambda: self._process_request(item))
            return
        item.running_requests += 1
        work = self.model.random.expovariate(1 / (settings.work_seconds * item.slowdown_factor))
        self.model.schedule(work, partial(self._finish_request, item, item.generation))

    def _finish_request(self, item: ModelUpstream, run: int) -> None:
        if run != item.generation:
            return
        item.running_requests -= 1
        item.served_requests += 1
        if item.queued_work:
            item.queued_work.popleft()()
        if self._is_reachable(item) and not self.is_done:
            self.model.schedule(2 * ONE_WAY_SECONDS, self._receive_response)

    def _receive_response(self) -> None:
        if self.is_done:
            return
        self.model.result.latencies.append(self.model.now - self.request_sent_at)
        self.acknowledged += 1000
        self.remaining_requests -= 1
        if self.remaining_requests:
            self.model.schedule(self.model.settings.pause_seconds, self._send_next_request)
        else:
            self._close_flow()

    def _send_next_request(self) -> None:
        self._count_request()
        self._send_request()

    def _fail_if_unanswered(self, number: int) -> None:
        if not self.is_done and self.remaining_requests == number:
            self._fail()

    def _fail(self) -> None:
        self.is_done = True
        self.model.result.failed_requests += 1

    def _close_flow(self) -> None:
        self.is_done = True
        packet = CookiePacket(
            self.key, ADDRESS, False, True, False, self.acknowledged, 0, self.cookie
        )
        self.router.route(packet, Instant(self.model.now))
