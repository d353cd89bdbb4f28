"""Discrete-event simulation of clients, balancers and upstreams around the real routers."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import msgspec

from benchmarks.load_model.flows import ADDRESS, ONE_WAY_SECONDS, ModelFlow
from benchmarks.load_model.observations import SharedObservations
from benchmarks.load_model.policies import POLICIES, SHARED_POLICY
from chicorypost.announcements import (
    AnnouncedStatus,
    Announcement,
    Judgement,
    RoutingApplied,
    VisibleUpstream,
    VisibleUpstreamsChanged,
)
from chicorypost.base import (
    DataCentreId,
    Endpoint,
    FlowKey,
    Instant,
    ServiceId,
    Tick,
    UpstreamId,
    Version,
)
from chicorypost.cookies import (
    BalancingSettings,
    CookieRouter,
    CookieSettings,
    FlowEnds,
    RepeatingRouter,
    ResetStalledFlow,
)
from chicorypost.observations import ObservationSettings
from chicorypost.routing import (
    Retryability,
    Route,
    RoutingDocument,
    ServiceSpec,
    WeightedService,
)

SERVICE = ServiceId("s")
REPEAT_TICK_SECONDS = 0.05
UNDISTURBED_SECONDS = 5.0
"""Time after a fault of an upstream in which a reset of its flows breaks no guarantee."""
SILENCE_TIMEOUT_SECONDS = 2.5
"""Time without a call after which control instances report an upstream as silent."""


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """Size and load of a simulation; times in seconds.

    `rate` is the total of requests per second; a flow carries `requests_per_flow` of them on
    average. `aim_seconds` is the latency target of a request. A client tries a request again
    `retries` times, each with a new flow, if its flow wasn't opened.
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
    retries: int = 0
    repeats_data: bool = False
    """Whether clients repeat data that an upstream doesn't acknowledge."""


LARGE = ModelSettings(
    balancers=195,
    data_centres=5,
    upstreams=117,
    slots=2,
    queue=8,
    rate=595.0,
    aim_seconds=0.5,
    deadline_seconds=4.0,
    seconds=12.0,
    retries=2,
)
"""A deployment of 200 instances: each balancer sees three requests a second."""

MEDIUM = replace(LARGE, balancers=88, data_centres=3, upstreams=75, rate=268.0, repeats_data=True)
"""88 balancers of three requests a second; clients repeat data that isn't acknowledged."""


@dataclass(slots=True)
class ModelUpstream:
    """State of one upstream: its slots, queue and simulated faults."""

    number: int
    data_centre: DataCentreId
    running_requests: int = 0
    queued_work: deque[Callable[[], None]] = field(default_factory=deque)
    flows: set[FlowKey] = field(default_factory=set)
    is_crashed: bool = False
    slowdown_factor: float = 1.0
    refusal_share: float = 0.0
    """Share of its requests that it refuses at once, while its status stays ready."""
    late_opening_share: float = 0.0
    """Share of its openings that it answers only after `LATE_OPENING_SECONDS`."""
    is_hung: bool = False
    """Whether it accepts requests without responding."""
    acknowledges: bool = True
    """Whether it acknowledges the data of requests while it is hung."""
    recovered_at: float = float("-inf")
    """When its last fault ended."""
    generation: int = 0
    """Number of restarts; flows of an earlier generation are lost."""
    status: AnnouncedStatus = AnnouncedStatus.READY
    is_silent: bool = False
    served_requests: int = 0

    @property
    def name(self) -> UpstreamId:
        """Name in the announcements."""
        return UpstreamId(f"u{self.number}")


@dataclass(slots=True)
class LoadResult:
    """Results of the clients."""

    sent_requests: int = 0
    latencies: list[float] = field(default_factory=list)
    failed_requests: int = 0
    crossed_flows: int = 0
    """Flows that two upstreams answered; the client has the cookie of one and the numbers of the
    other."""
    resets: int = 0
    """Flows that a balancer reset because their request was stalled."""
    wrong_resets: int = 0
    """Of those, flows whose upstream has worked for `UNDISTURBED_SECONDS` and could be reached."""

    def percentile(self, share: float) -> float:
        """Return the latency in seconds that a share of the answered requests doesn't exceed."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0

    def share_within(self, seconds: float) -> float:
        """Return the share of the requests with a response within a time in seconds."""
        return sum(latency <= seconds for latency in self.latencies) / max(1, self.sent_requests)


class LoadModel:
    """One simulation run.

    Parameters
    ----------
    settings : ModelSettings
        Size and load.
    policy : str
        Key of `POLICIES`, which chooses the upstream of a new flow.
    seed : int
        Seed of all random choices.
    cookie_settings : CookieSettings, optional
        Settings of the routers.
    balancing : BalancingSettings, optional
        Features of the routers; the policy `SHARED_POLICY` enables shared observations too.
    observation_settings : ObservationSettings, optional
        Settings of shared observations.
    """

    def __init__(
        self,
        settings: ModelSettings,
        policy: str,
        seed: int,
        cookie_settings: CookieSettings | None = None,
        balancing: BalancingSettings = BalancingSettings(),  # noqa: B008 (immutable)
        observation_settings: ObservationSettings | None = None,
    ) -> None:
        self.balancing = balancing
        if policy == SHARED_POLICY:
            self.balancing = msgspec.structs.replace(balancing, shared_observations=True)
        self.open_flows: dict[FlowKey, ModelFlow] = {}
        self.settings = settings
        self.cookie_settings = cookie_settings or CookieSettings()
        self.random = Random(seed)
        self.now = 0.0
        self.event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self.event_number = 0
        self.result = LoadResult()
        self.isolated_data_centre: DataCentreId | None = None
        self.is_dark = False
        """Whether all balancers are without power: packets to them are lost."""
        self.moved_share = 0.0
        """Share of the clients of the first data centre that are at the second one now."""
        self.rate_factor: Callable[[float], float] = lambda now: 1.0
        self.flow_count = 0
        data_centres = [DataCentreId(f"d{n}") for n in range(settings.data_centres)]
        self.upstreams = [
            ModelUpstream(n, data_centres[n % len(data_centres)]) for n in range(settings.upstreams)
        ]
        self.balancer_data_centres = [
            data_centres[n % len(data_centres)] for n in range(settings.balancers)
        ]
        self.routers = [
            self._make_router(data_centre, policy) for data_centre in self.balancer_data_centres
        ]
        self.judgements: dict[UpstreamId, Judgement | None] = {}
        self.update_balancers()
        self.shared = (
            SharedObservations(self, observation_settings)
            if self.balancing.shared_observations
            else None
        )

    def _make_router(self, data_centre: DataCentreId, policy: str) -> CookieRouter:
        settings, random = self.cookie_settings, Random(self.random.getrandbits(32))
        router = self._construct_router(settings, data_centre, random)
        make_chooser = POLICIES[policy]
        router.chooser = make_chooser(
            settings, data_centre, router.tracker, router.suspected_upstreams, random
        )
        router.chooser.judged_upstreams = router.judged_upstreams
        shares = (WeightedService(SERVICE, 1),)
        route = Route("r", ADDRESS, shares, Retryability.IDEMPOTENT, 1000, 100, 1)
        document = RoutingDocument(Version(1), (route,), (ServiceSpec(SERVICE, "/", 10),), 15.0)
        router.handle(RoutingApplied(document), Instant(0.0))
        return router

    def _construct_router(
        self, settings: CookieSettings, data_centre: DataCentreId, random: Random
    ) -> CookieRouter:
        if not self.balancing.repeat_share:
            return CookieRouter(settings, data_centre, random, Instant(0.0), self.balancing)
        return RepeatingRouter(
            settings, data_centre, random, Instant(0.0), self.balancing, None, _read_ends
        )

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self.event_number += 1
        heapq.heappush(self.event_queue, (self.now + seconds, self.event_number, action))

    def update_balancers(self) -> None:
        """Send the current state of all upstreams to every balancer."""
        self._send_to_balancers(self.upstreams)

    def apply_judgements(self, judgements: dict[UpstreamId, Judgement | None]) -> None:
        """Send changed judgements of upstreams to every balancer."""
        self.judgements |= judgements
        self._send_to_balancers([item for item in self.upstreams if item.name in judgements])

    def _send_to_balancers(self, upstreams: list[ModelUpstream]) -> None:
        seen = tuple(self._make_visible_upstream(upstream) for upstream in upstreams)
        for router in self.routers:
            router.handle(VisibleUpstreamsChanged(seen), Instant(self.now))

    def make_announcement(self, upstream: ModelUpstream) -> Announcement:
        """Return the latest call of an upstream."""
        return Announcement(
            upstream.name,
            1,
            1,
            SERVICE,
            upstream.data_centre,
            Endpoint(f"10.0.{upstream.number // 250}.{upstream.number % 250 + 1}", 80),
            upstream.number + 1,
            self.settings.slots,
            upstream.status,
            0,
        )

    def _make_visible_upstream(self, upstream: ModelUpstream) -> VisibleUpstream:
        call = self.make_announcement(upstream)
        judgement = self.judgements.get(upstream.name)
        return VisibleUpstream(call, upstream.is_silent, Instant(0.0), judgement)

    def add_upstream(self) -> ModelUpstream:
        """Add an idle upstream and update the balancers."""
        number = len(self.upstreams)
        data_centre = self.upstreams[number % self.settings.data_centres].data_centre
        self.upstreams.append(ModelUpstream(number, data_centre))
        self.update_balancers()
        return self.upstreams[-1]

    def kill(self, upstream: ModelUpstream) -> None:
        """Crash an upstream; balancers are updated after `SILENCE_TIMEOUT_SECONDS`."""
        upstream.is_crashed = True

        def report_silence() -> None:
            upstream.is_silent = True
            self.update_balancers()

        self.schedule(SILENCE_TIMEOUT_SECONDS, report_silence)

    def flap(self, upstream: ModelUpstream, down_seconds: float) -> None:
        """Crash an upstream and restart it before control instances report it as silent."""
        upstream.is_crashed = True
        upstream.generation += 1
        upstream.running_requests = 0
        upstream.queued_work.clear()

        def restart() -> None:
            upstream.is_crashed = False
            upstream.recovered_at = self.now

        self.schedule(down_seconds, restart)

    def run(self) -> LoadResult:
        """Run the simulation to its end and return the results of the clients."""
        self._start_flow()
        self._send_ticks()
        if self.shared is not None:
            self.shared.start()
        while self.event_queue:
            self.now, _, action = heapq.heappop(self.event_queue)
            action()
        return self.result

    def _send_ticks(self) -> None:
        for router in self.routers:
            deadline = router.next_deadline()
            # The sum of small intervals may be a little less than the deadline.
            if deadline is not None and deadline <= self.now + 1e-9:
                for effect in router.handle(Tick(), Instant(max(self.now, deadline))):
                    if isinstance(effect, ResetStalledFlow):
                        self._reset_flow(effect)
        if self.now < self.settings.seconds:
            interval = REPEAT_TICK_SECONDS if self.balancing.repeat_share else 0.5
            self.schedule(interval, self._send_ticks)

    def _reset_flow(self, effect: ResetStalledFlow) -> None:
        flow = self.open_flows.get(effect.flow)
        if flow is None or flow.is_done:
            return
        self.record_reset(flow, self.upstreams[int(effect.upstream[1:])])
        self.schedule(ONE_WAY_SECONDS, flow.fail_attempt)

    def record_reset(self, flow: ModelFlow, upstream: ModelUpstream) -> None:
        """Record that a balancer has reset an open flow because of its upstream."""
        self.result.resets += 1
        is_working = flow.is_reachable(upstream) and not upstream.is_hung
        was_disturbed = self.now - upstream.recovered_at < UNDISTURBED_SECONDS
        self.result.wrong_resets += is_working and not was_disturbed

    def _start_flow(self) -> None:
        """Start a flow and schedule the next one."""
        if self.now >= self.settings.seconds:
            return
        rate = self.settings.rate / self.settings.requests_per_flow
        self.schedule(self.random.expovariate(rate * self.rate_factor(self.now)), self._start_flow)
        self.flow_count += 1
        key = FlowKey(self.flow_count.to_bytes(12, "big"))
        number = self.random.randrange(len(self.routers))
        is_first = number % self.settings.data_centres == 0
        if self.moved_share > 0.0 and is_first and self.random.random() < self.moved_share:
            number = (number + 1) % len(self.routers)
        requests = 1 + min(20, int(self.random.expovariate(1 / self.settings.requests_per_flow)))
        ModelFlow(self, key, number, requests, self.settings.retries).open()

    def retry_flow(self, flow: ModelFlow) -> None:
        """Try the first request of a flow that wasn't opened again, with a new flow."""
        self.flow_count += 1
        key = FlowKey(self.flow_count.to_bytes(12, "big"))
        next_flow = ModelFlow(
            self, key, flow.balancer, flow.remaining_requests, flow.retries_left - 1
        )
        next_flow.request_sent_at = flow.request_sent_at
        next_flow.start_opening()

    def imbalance(self) -> float:
        """Return the requests of the busiest upstream over the mean of those that served any."""
        served = [item.served_requests for item in self.upstreams if item.served_requests]
        return max(served) * len(served) / sum(served) if served else 0.0


def _read_ends(flow: FlowKey) -> FlowEnds:
    """Return the ends of a flow; each one has a client of its own."""
    return FlowEnds(ADDRESS, flow.hex())
