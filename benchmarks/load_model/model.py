"""Clients, balancers and upstreams as events in simulated time; the routers are the real ones."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from benchmarks.load_model.ways import WAYS
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
WAY_SECONDS = 0.002
"""One way from a client to an upstream or back."""
COPY_SECONDS = (0.2, 0.6, 1.4)
"""When a client sends copies of its opening, and when it gives up."""
SILENT_SECONDS = 2.5
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
    running: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)
    flows: set[FlowKey] = field(default_factory=set)
    dead: bool = False
    slowness: float = 1.0
    grey_share: float = 0.0
    """Share of its requests that it refuses at once, while it looks healthy."""
    hangs: bool = False
    """Whether it takes requests and answers none."""
    run: int = 0
    """Counts its starts; flows of an earlier one are lost."""
    standing: AnnouncedStatus = AnnouncedStatus.READY
    silent: bool = False
    served: int = 0

    @property
    def name(self) -> UpstreamId:
        """Name as balancers know it."""
        return UpstreamId(f"u{self.number}")


@dataclass(slots=True)
class Result:
    """What clients saw."""

    asked: int = 0
    latencies: list[float] = field(default_factory=list)
    failed: int = 0

    def share_in(self, seconds: float) -> float:
        """Return the share of the requests that were answered within a time."""
        return sum(latency <= seconds for latency in self.latencies) / max(1, self.asked)


class Model:
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

    def __init__(self, settings: ModelSettings, way: str, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.events = 0
        self.result = Result()
        self.cut: DataCentreId | None = None
        self.rate_factor: Callable[[float], float] = lambda now: 1.0
        self.flows = 0
        places = [DataCentreId(f"d{n}") for n in range(settings.data_centres)]
        self.upstreams = [
            ModelUpstream(n, places[n % len(places)]) for n in range(settings.upstreams)
        ]
        self.places = [places[n % len(places)] for n in range(settings.balancers)]
        self.routers = [self._make_router(place, way) for place in self.places]
        self.tell_balancers()

    def _make_router(self, place: DataCentreId, way: str) -> CookieRouter:
        settings, random = CookieSettings(), Random(self.random.getrandbits(32))
        router = CookieRouter(settings, place, random, Instant(0.0))
        maker = WAYS[way]
        router.chooser = maker(settings, place, router.tracker, router.suspected_upstreams, random)
        shares = (WeightedService(SERVICE, 1),)
        route = Route("r", ADDRESS, shares, Retryability.IDEMPOTENT, 1000, 100, 1)
        document = RoutingDocument(Version(1), (route,), (ServiceSpec(SERVICE, "/", 10),), 15.0)
        router.handle(RoutingApplied(document), Instant(0.0))
        return router

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""
        self.events += 1
        heapq.heappush(self.queue, (self.now + seconds, self.events, action))

    def tell_balancers(self) -> None:
        """Give every balancer what control instances know now."""
        seen = tuple(self._see(item) for item in self.upstreams)
        for router in self.routers:
            router.handle(VisibleUpstreamsChanged(seen), Instant(self.now))

    def _see(self, item: ModelUpstream) -> VisibleUpstream:
        call = Announcement(
            item.name,
            1,
            1,
            SERVICE,
            item.data_centre,
            Endpoint(f"10.0.0.{item.number + 1}", 80),
            item.number + 1,
            self.settings.slots,
            item.standing,
            0,
        )
        return VisibleUpstream(call, item.silent, Instant(0.0))

    def add_upstream(self) -> ModelUpstream:
        """Add an empty upstream and announce it."""
        number = len(self.upstreams)
        place = self.upstreams[number % self.settings.data_centres].data_centre
        self.upstreams.append(ModelUpstream(number, place))
        self.tell_balancers()
        return self.upstreams[-1]

    def kill(self, item: ModelUpstream) -> None:
        """End an upstream without a word; control instances notice in time."""
        item.dead = True

        def notice() -> None:
            item.silent = True
            self.tell_balancers()

        self.at(SILENT_SECONDS, notice)

    def flap(self, item: ModelUpstream, down_seconds: float) -> None:
        """End an upstream without a word and start it again, too soon for anyone to notice."""
        item.dead = True
        item.run += 1
        item.running = 0
        item.waiting.clear()

        def start() -> None:
            item.dead = False

        self.at(down_seconds, start)

    def run(self) -> Result:
        """Play until the end and return what clients saw."""
        self._arrive()
        self._tick()
        while self.queue:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        return self.result

    def _tick(self) -> None:
        for router in self.routers:
            router.handle(Tick(), Instant(self.now))
        if self.now < self.settings.seconds:
            self.at(0.5, self._tick)

    def _arrive(self) -> None:
        """Start a flow and plan the next arrival."""
        if self.now >= self.settings.seconds:
            return
        rate = self.settings.rate / self.settings.requests_per_flow
        self.at(self.random.expovariate(rate * self.rate_factor(self.now)), self._arrive)
        self.flows += 1
        key = FlowKey(self.flows.to_bytes(12, "big"))
        number = self.random.randrange(len(self.routers))
        requests = 1 + min(20, int(self.random.expovariate(1 / self.settings.requests_per_flow)))
        ModelFlow(self, key, number, requests).open()


class ModelFlow:
    """One flow of a client: opened with copies, then requests one after another."""

    def __init__(self, model: Model, key: FlowKey, balancer: int, requests: int) -> None:
        self.model = model
        self.key = key
        self.router = model.routers[balancer]
        self.place = model.places[balancer]
        self.requests = requests
        self.cookie = 0
        self.acknowledged = 0
        self.upstream_run = 0
        self.asked_at = 0.0
        self.done = False

    def open(self) -> None:
        """Send the opening and plan its copies; the first request counts from here."""
        self._ask()
        for copies, seconds in enumerate((0.0, *COPY_SECONDS[:-1])):
            self.model.at(seconds, partial(self._send_opening, copies))
        self.model.at(COPY_SECONDS[-1], self._give_up_opening)

    def _ask(self) -> None:
        self.model.result.asked += 1
        self.asked_at = self.model.now

    def _send_opening(self, copies: int) -> None:
        if self.cookie or self.done:
            return
        packet = CookiePacket(self.key, ADDRESS, True, False, False, copies, 0, 0)
        decision = self.router.route(packet, Instant(self.model.now))
        if not isinstance(decision, ForwardPacket):
            self._fail()
            return
        item = self._find(decision.upstream)
        if self._is_reached(item):
            cookie = decision.cookie or 0
            self.model.at(2 * WAY_SECONDS, lambda: self._opened(item, cookie))

    def _find(self, name: UpstreamId) -> ModelUpstream:
        return self.model.upstreams[int(name[1:])]

    def _is_reached(self, item: ModelUpstream) -> bool:
        cut = self.model.cut
        is_across = cut is not None and (item.data_centre == cut) != (self.place == cut)
        return not item.dead and not is_across

    def _opened(self, item: ModelUpstream, cookie: int) -> None:
        if self.cookie or self.done:
            return
        self.cookie, self.acknowledged = cookie, 1
        self.upstream_run = item.run
        item.flows.add(self.key)
        self._send_request()

    def _give_up_opening(self) -> None:
        if not self.cookie and not self.done:
            self._fail()

    def _send_request(self) -> None:
        packet = CookiePacket(
            self.key, ADDRESS, False, False, False, self.acknowledged, 500, self.cookie
        )
        decision = self.router.route(packet, Instant(self.model.now))
        left = self.asked_at + self.model.settings.deadline_seconds - self.model.now
        number = self.requests
        self.model.at(max(0.0, left), lambda: self._time_out(number))
        if isinstance(decision, ForwardPacket):
            item = self._find(decision.upstream)
            if self._is_reached(item):
                self._reach(item)

    def _reach(self, item: ModelUpstream) -> None:
        refuses = item.grey_share > 0.0 and self.model.random.random() < item.grey_share
        if refuses or item.run != self.upstream_run:
            self._fail()
        elif not item.hangs:
            self._work(item)

    def _work(self, item: ModelUpstream) -> None:
        settings = self.model.settings
        if item.running >= settings.slots:
            if len(item.waiting) >= settings.queue:
                self._fail()
            else:
                item.waiting.append(lambda: self._work(item))
            return
        item.running += 1
        work = self.model.random.expovariate(1 / (settings.work_seconds * item.slowness))
        self.model.at(work, partial(self._worked, item, item.run))

    def _worked(self, item: ModelUpstream, run: int) -> None:
        if run != item.run:
            return
        item.running -= 1
        item.served += 1
        if item.waiting:
            item.waiting.popleft()()
        if self._is_reached(item) and not self.done:
            self.model.at(2 * WAY_SECONDS, self._answered)

    def _answered(self) -> None:
        if self.done:
            return
        self.model.result.latencies.append(self.model.now - self.asked_at)
        self.acknowledged += 1000
        self.requests -= 1
        if self.requests:
            self.model.at(self.model.settings.pause_seconds, self._ask_again)
        else:
            self._close()

    def _ask_again(self) -> None:
        self._ask()
        self._send_request()

    def _time_out(self, number: int) -> None:
        if not self.done and self.requests == number:
            self._fail()

    def _fail(self) -> None:
        self.done = True
        self.model.result.failed += 1

    def _close(self) -> None:
        self.done = True
        packet = CookiePacket(
            self.key, ADDRESS, False, True, False, self.acknowledged, 0, self.cookie
        )
        self.router.route(packet, Instant(self.model.now))
