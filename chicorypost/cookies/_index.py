"""The upstreams known to one balancer, by service and by cookie."""

from collections import Counter
from collections.abc import Iterable

from chicorypost.announcements import AnnouncedStatus, VisibleUpstream
from chicorypost.base import DataCentreId, Endpoint, ServiceId, UpstreamId, hash64
from chicorypost.cookies._candidates import ServiceCandidates
from chicorypost.cookies._packet import ForwardPacket

MAX_COOKIE = 2**32 - 1


class UpstreamIndex:
    """Finds the candidates of a service and the upstream of a cookie.

    The cost of an update grows with the number of changed upstreams, not of all upstreams.

    Notes
    -----
    Two endpoints may have the same cookie: among 7,800 upstreams in 0.7 % of deployments. The flows
    of one would be forwarded to the other, so only the endpoint whose upstream started first is
    used. All balancers decide so by the same data, and no flow is open at the upstream that is
    left out.

    Several upstreams may name one endpoint, and one of them is there: the one that started last of
    those that still announce themselves. The others get no flows.
    """

    def __init__(self) -> None:
        self.upstreams: dict[UpstreamId, VisibleUpstream] = {}
        self.candidates: dict[ServiceId, ServiceCandidates] = {}
        self.decision_by_cookie: dict[int, ForwardPacket] = {}
        """Decisions for packets of open flows, built once instead of for each packet."""
        self.users_by_cookie: dict[int, list[UpstreamId]] = {}
        self.upstream_counts: Counter[DataCentreId] = Counter()
        self.evacuated: frozenset[DataCentreId] = frozenset()
        """Data centres that get no new flows."""
        self.withheld: dict[ServiceId, ServiceCandidates] = {}
        """Upstreams that would be candidates if their data centres weren't evacuated."""
        self.left_out: set[UpstreamId] = set()
        """Upstreams that get no flows because an earlier one has the same cookie."""

    @property
    def data_centres(self) -> int:
        """Number of data centres with upstreams."""
        return len(self.upstream_counts)

    def update(
        self, changed: Iterable[VisibleUpstream], removed: Iterable[UpstreamId]
    ) -> set[UpstreamId]:
        """Apply changes.

        Parameters
        ----------
        changed : iterable of VisibleUpstream
            New state of upstreams that are new or have changed.
        removed : iterable of UpstreamId
            Upstreams to forget; unknown ones are ignored.

        Returns
        -------
        set of UpstreamId
            Upstreams that are newly left out because of their cookie.
        """
        previously_left_out = set(self.left_out)
        cookies = set()
        for name in removed:
            if name in self.upstreams:
                cookies.add(self._remove(name))
        for item in changed:
            name = item.announcement.upstream
            if name in self.upstreams:
                cookies.add(self._remove(name))
            cookies.add(self._add(item))
        for cookie in cookies:
            self._assign_cookie(cookie)
        return self.left_out - previously_left_out

    def set_evacuated(self, data_centres: frozenset[DataCentreId]) -> None:
        """Set the data centres that get no new flows; the flows that are open stay."""
        changed = self.evacuated ^ data_centres
        self.evacuated = data_centres
        for cookie, names in self.users_by_cookie.items():
            users = [self.upstreams[name].announcement.data_centre for name in names]
            if not changed.isdisjoint(users):
                self._assign_cookie(cookie)

    def is_evacuated(self, item: VisibleUpstream) -> bool:
        """Return whether the data centre of an upstream is evacuated."""
        return item.announcement.data_centre in self.evacuated

    def is_cookie_owner(self, name: UpstreamId) -> bool:
        """Return whether packets with the cookie of a known upstream are forwarded to it."""
        cookie = make_cookie(self.upstreams[name].announcement.endpoint)
        return self.decision_by_cookie[cookie].upstream == name

    def _add(self, item: VisibleUpstream) -> int:
        announcement = item.announcement
        cookie = make_cookie(announcement.endpoint)
        self.upstreams[announcement.upstream] = item
        self.upstream_counts[announcement.data_centre] += 1
        self.users_by_cookie.setdefault(cookie, []).append(announcement.upstream)
        return cookie

    def _remove(self, name: UpstreamId) -> int:
        item = self.upstreams.pop(name)
        announcement = item.announcement
        cookie = make_cookie(announcement.endpoint)
        self._remove_candidate(item)
        self.left_out.discard(name)
        self.users_by_cookie[cookie].remove(name)
        self.upstream_counts[announcement.data_centre] -= 1
        if not self.upstream_counts[announcement.data_centre]:
            del self.upstream_counts[announcement.data_centre]
        return cookie

    def _assign_cookie(self, cookie: int) -> None:
        """Decide which of the upstreams with the same cookie is used."""
        users = [self.upstreams[name] for name in self.users_by_cookie[cookie]]
        if not users:
            del self.users_by_cookie[cookie]
            self.decision_by_cookie.pop(cookie, None)
            return
        owner = _find_cookie_owner(users).announcement
        address = (owner.endpoint.host, owner.endpoint.port)
        self.decision_by_cookie[cookie] = ForwardPacket(owner.upstream, address, 0)
        for item in users:
            self._remove_candidate(item)
            self.left_out.discard(item.announcement.upstream)
            if item.announcement.status is not AnnouncedStatus.READY:
                continue
            if item.announcement.upstream == owner.upstream:
                service = item.announcement.service
                group = self.withheld if self.is_evacuated(item) else self.candidates
                group.setdefault(service, ServiceCandidates()).add(item)
            elif item.announcement.endpoint != owner.endpoint:
                self.left_out.add(item.announcement.upstream)

    def _remove_candidate(self, item: VisibleUpstream) -> None:
        service = item.announcement.service
        for group in (self.candidates, self.withheld):
            candidates = group.get(service)
            if candidates is not None:
                candidates.remove(item)
                if not candidates:
                    del group[service]


def _find_cookie_owner(users: list[VisibleUpstream]) -> VisibleUpstream:
    """Return the upstream that receives the packets with a cookie.

    If several upstreams have used an endpoint, the one that started last is there now, unless only
    another one still announces itself: starts are by the clocks of different machines, and an
    address may be claimed by mistake. Of several endpoints the one that has been in use for longest
    is the owner.
    """
    latest_by_endpoint: dict[Endpoint, VisibleUpstream] = {}
    for item in sorted(users, key=lambda item: (_is_announcing(item), _get_start_order(item))):
        latest_by_endpoint[item.announcement.endpoint] = item
    return min(latest_by_endpoint.values(), key=_get_start_order)


def _is_announcing(item: VisibleUpstream) -> bool:
    return item.announcement.status is not AnnouncedStatus.GONE and not item.is_silent


def _get_start_order(item: VisibleUpstream) -> tuple[int, UpstreamId]:
    return (item.announcement.started_at_ms, item.announcement.upstream)


def make_cookie(endpoint: Endpoint) -> int:
    """Return the cookie of the upstream at an endpoint: 32 bits, never 0."""
    text = f"{endpoint.host}:{endpoint.port}"
    return hash64(text.encode()) % MAX_COOKIE + 1
