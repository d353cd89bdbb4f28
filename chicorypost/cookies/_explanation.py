"""Explains where an opening would go now, without routing it and without changing any state."""

from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec

from chicorypost.announcements import AnnouncedStatus, VisibleUpstream
from chicorypost.base import (
    Address,
    DataCentreId,
    FlowKey,
    Instant,
    ServiceId,
    UpstreamId,
    Version,
)
from chicorypost.cookies._candidates import ServiceCandidates
from chicorypost.cookies._choice import FlowChooser
from chicorypost.cookies._packet import DropReason, ResetReason
from chicorypost.cookies._router import CookieRouter, choose_service
from chicorypost.routing import Route


class Exclusion(Enum):
    """Why an upstream of the service gets no new flows."""

    GONE = "gone"
    DRAINING = "draining"
    ADDRESS_SHARED = "another upstream has its address or its cookie"
    EVACUATED = "its data centre is evacuated"
    SILENT = "silent"
    SUSPECTED = "it left an opening unanswered"
    JUDGED = "judged unresponsive by the control instances"
    COLD = "cold"


class UpstreamExplanation(msgspec.Struct, frozen=True):
    """What a balancer knows of one upstream, and the probability that it gets the flow.

    Parameters
    ----------
    upstream, data_centre
        The upstream and its location.
    probability : float
        Probability that the flow goes there, from 0 to 1.
    excluded_by : Exclusion or None
        Why it is left out; None if it isn't.
    score : float
        Load for its slots; within a data centre the lowest one gets the flow.
    slots, flows, opening_flows, busy_flows : int
        Its slots, and its flows through this balancer.
    slowness : float
        Factor by which its requests take longer than usual; 1 if it isn't slow.
    response_seconds, response_age_seconds : float or None
        Mean response time, and the time since the last response; None without any.
    warmup_seconds : float
        Remaining warm-up.
    """

    upstream: UpstreamId
    data_centre: DataCentreId
    probability: float
    excluded_by: Exclusion | None
    score: float
    slots: int
    flows: int
    opening_flows: int
    busy_flows: int
    slowness: float
    response_seconds: float | None
    response_age_seconds: float | None
    warmup_seconds: float


class ServiceExplanation(msgspec.Struct, frozen=True):
    """Where an opening that is routed to a service would go.

    Parameters
    ----------
    service : ServiceId
        The service.
    probability : float
        Probability of this service among those of the route; 1 or 0 if the client is known.
    reset : ResetReason or None
        Why the opening would be reset; None if it would be forwarded.
    upstreams : tuple of UpstreamExplanation
        All known upstreams of the service, the most probable first.
    """

    service: ServiceId
    probability: float
    reset: ResetReason | None
    upstreams: tuple[UpstreamExplanation, ...]


class OpeningExplanation(msgspec.Struct, frozen=True):
    """Where an opening to a virtual address would go now, and why.

    Parameters
    ----------
    address : Address
        The virtual address.
    data_centre : DataCentreId
        Data centre of the balancer.
    version : Version
        Version of the configuration in force here; 0 before the first one.
    refusal : ResetReason, DropReason or None
        Why the opening would be reset or dropped before a service is chosen.
    route : str
        Name of the route; empty without one.
    evacuated : tuple of DataCentreId
        Data centres that get no new flows.
    services : tuple of ServiceExplanation
        Services of the route, the most probable first.
    """

    address: Address
    data_centre: DataCentreId
    version: Version
    refusal: ResetReason | DropReason | None
    route: str = ""
    evacuated: tuple[DataCentreId, ...] = ()
    services: tuple[ServiceExplanation, ...] = ()


def explain_opening(
    router: CookieRouter, address: Address, flow: FlowKey | None, now: Instant
) -> OpeningExplanation:
    """Explain where the first packet of a new flow would go.

    Parameters
    ----------
    router : CookieRouter
        The router, whose state doesn't change.
    address : Address
        Virtual address that the client would connect to.
    flow : FlowKey or None
        The flow, which selects a service of a route with several; None for any client.
    now : Instant
        Current time.

    Returns
    -------
    OpeningExplanation
        The destination and what it depends on.
    """
    route = router.routes.get(address)
    refusal: ResetReason | DropReason | None = None
    if router.document is None:
        refusal = DropReason.NOT_CONFIGURED
    elif route is None:
        refusal = ResetReason.NO_ROUTE
    services = []
    if route is not None:
        for service, probability in _share_services(route, flow).items():
            services.append(_explain_service(router, service, probability, now))
    return OpeningExplanation(
        address,
        router.chooser.data_centre,
        router.version,
        refusal,
        route.name if route is not None else "",
        tuple(sorted(router.index.evacuated)),
        tuple(sorted(services, key=lambda item: -item.probability)),
    )


def describe_opening(explanation: OpeningExplanation) -> Any:
    """Return an explanation as JSON-compatible values."""
    return msgspec.to_builtins(explanation)


def _share_services(route: Route, flow: FlowKey | None) -> dict[ServiceId, float]:
    total = sum(target.weight for target in route.targets)
    shares = dict.fromkeys((target.service for target in route.targets), 0.0)
    if flow is not None:
        return shares | {choose_service(route, flow): 1.0}
    for target in route.targets:
        shares[target.service] += target.weight / total
    return shares


def _explain_service(
    router: CookieRouter, service: ServiceId, probability: float, now: Instant
) -> ServiceExplanation:
    candidates = router.index.candidates.get(service)
    probabilities: Mapping[UpstreamId, float] = {}
    if candidates is not None:
        probabilities = _find_probabilities(router.chooser, candidates, router, now)
    reset = None
    if candidates is None:
        is_evacuated = service in router.index.withheld
        reset = ResetReason.EVACUATED if is_evacuated else ResetReason.NO_UPSTREAM
    elif not probabilities:
        reset = ResetReason.COLD_UPSTREAMS
    excluded = _find_exclusions(router, candidates, now)
    upstreams = [
        _explain_upstream(router, item, probabilities, excluded, now)
        for item in router.upstreams.values()
        if item.announcement.service == service
    ]
    upstreams.sort(key=lambda item: (-item.probability, item.score, item.upstream))
    return ServiceExplanation(service, probability, reset, tuple(upstreams))


def _find_probabilities(
    chooser: FlowChooser, candidates: ServiceCandidates, router: CookieRouter, now: Instant
) -> dict[UpstreamId, float]:
    """Return the probability of each upstream that the flow may go to; empty if it is reset."""
    excluded = chooser.find_excluded(candidates, now)
    slowness = chooser.get_slowness(now)
    cold = _find_cold(chooser, candidates, now)
    unusable = excluded | {name: item for name, item in cold.items() if not item.is_silent}
    usable = [
        item for item in candidates.list_reachable() if item.announcement.upstream not in unusable
    ]
    if not usable:
        options = _find_last_resort(chooser, candidates, excluded, cold, now)
        return _share_among_least_loaded(chooser, options, slowness, 1.0, now)
    probabilities: dict[UpstreamId, float] = {}
    shares = chooser.compute_shares(candidates, unusable, slowness, router.index.data_centres)
    for data_centre, share in shares.items():
        local = [item for item in usable if item.announcement.data_centre == data_centre]
        options = usable if data_centre is None or not local else local
        for name, part in _share_among_least_loaded(chooser, options, slowness, share, now).items():
            probabilities[name] = probabilities.get(name, 0.0) + part
    return probabilities


def _find_last_resort(
    chooser: FlowChooser,
    candidates: ServiceCandidates,
    excluded: Mapping[UpstreamId, VisibleUpstream],
    cold: Mapping[UpstreamId, VisibleUpstream],
    now: Instant,
) -> list[VisibleUpstream]:
    """Return the options when every reachable upstream is excluded or cold."""
    if not cold or chooser.cold_starts is None:
        return list(candidates)
    judged = chooser.list_judged_only(excluded, cold, now)
    if judged:
        return judged
    usable_cold = {
        name: item for name, item in cold.items() if not item.is_silent and name not in excluded
    }
    others = [item for item in candidates if item.announcement.upstream not in cold]
    if not usable_cold and others:
        return others
    return chooser.cold_starts.list_admitting(usable_cold, now)


def _share_among_least_loaded(
    chooser: FlowChooser,
    options: list[VisibleUpstream],
    slowness: Mapping[UpstreamId, float],
    share: float,
    now: Instant,
) -> dict[UpstreamId, float]:
    if not options or share <= 0.0:
        return {}
    scores = {item.announcement.upstream: chooser.score(item, slowness, now) for item in options}
    lowest = min(scores.values())
    winners = [name for name, score in scores.items() if score == lowest]
    return dict.fromkeys(winners, share / len(winners))


def _find_cold(
    chooser: FlowChooser, candidates: ServiceCandidates, now: Instant
) -> Mapping[UpstreamId, VisibleUpstream]:
    return chooser.cold_starts.find_cold(candidates, now) if chooser.cold_starts else {}


def _find_exclusions(
    router: CookieRouter, candidates: ServiceCandidates | None, now: Instant
) -> dict[UpstreamId, Exclusion]:
    """Return why candidates of a service are left out."""
    if candidates is None:
        return {}
    exclusions = dict.fromkeys(_find_cold(router.chooser, candidates, now), Exclusion.COLD)
    exclusions |= dict.fromkeys(candidates.silent, Exclusion.SILENT)
    for name in router.chooser.find_excluded(candidates, now):
        is_suspected = router.suspected_upstreams.is_suspected(name, now)
        exclusions[name] = Exclusion.SUSPECTED if is_suspected else Exclusion.JUDGED
    return exclusions


def _find_exclusion(
    router: CookieRouter, item: VisibleUpstream, excluded: Mapping[UpstreamId, Exclusion]
) -> Exclusion | None:
    name = item.announcement.upstream
    match item.announcement.status:
        case AnnouncedStatus.GONE:
            return Exclusion.GONE
        case AnnouncedStatus.DRAINING:
            return Exclusion.DRAINING
    if not router.index.is_cookie_owner(name):
        return Exclusion.ADDRESS_SHARED
    if router.index.is_evacuated(item):
        return Exclusion.EVACUATED
    return excluded.get(name)


def _explain_upstream(
    router: CookieRouter,
    item: VisibleUpstream,
    probabilities: Mapping[UpstreamId, float],
    excluded: Mapping[UpstreamId, Exclusion],
    now: Instant,
) -> UpstreamExplanation:
    announcement = item.announcement
    name = announcement.upstream
    slowness = router.chooser.get_slowness(now)
    load = router.tracker.read_load(name)
    responses = router.tracker.response_times.upstreams.get(name)
    has_response = responses is not None and responses.mean_seconds > 0.0
    return UpstreamExplanation(
        upstream=name,
        data_centre=announcement.data_centre,
        probability=probabilities.get(name, 0.0),
        excluded_by=_find_exclusion(router, item, excluded),
        score=router.chooser.score(item, slowness, now),
        slots=announcement.slots,
        flows=load.flows,
        opening_flows=load.opening_flows,
        busy_flows=load.busy_flows,
        slowness=slowness.get(name, 1.0),
        response_seconds=responses.mean_seconds if responses and has_response else None,
        response_age_seconds=now - responses.answered_at if responses and has_response else None,
        warmup_seconds=max(0.0, item.warmup_ends_at - now),
    )
