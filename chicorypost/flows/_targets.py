"""The upstreams that packets can be sent to, by small numbers that the flow cache can hold."""

import math
from collections.abc import Iterable, Iterator

from chicorypost.base import Endpoint, Instant, Upstream, UpstreamId, UpstreamState
from chicorypost.configuration import UpstreamSelector
from chicorypost.flows._interface import ForwardTo

DRAIN_GRACE_SECONDS = 2.0


def forward_to(upstream: Upstream) -> ForwardTo:
    """Return the decision to send packets to an upstream."""
    return ForwardTo(upstream, (upstream.packets.host, upstream.packets.port))


class Target:
    """One upstream id, kept after the upstream is gone so that its number stays valid."""

    def __init__(self, index: int, upstream: Upstream) -> None:
        self.index = index
        self.upstream = upstream
        self.forward_decision = forward_to(upstream)
        self.gone_since: Instant | None = None
        self.ready_since: Instant | None = None
        self.opens_until: float = -math.inf

    @property
    def is_live(self) -> bool:
        """Whether the upstream is announced."""
        return self.gone_since is None

    def is_selected_by(self, selector: UpstreamSelector) -> bool:
        """Return whether the upstream belongs to what a service selects."""
        upstream = self.upstream
        if upstream.service != selector.service:
            return False
        return selector.data_centres is None or upstream.data_centre in selector.data_centres

    def update(self, upstream: Upstream, now: Instant) -> None:
        """Take over a newer announcement."""
        restarted = upstream.incarnation != self.upstream.incarnation or not self.is_live
        was_ready = self.ready_since is not None and not restarted
        self.upstream = upstream
        self.forward_decision = forward_to(upstream)
        self.gone_since = None
        if upstream.state is UpstreamState.READY:
            self.ready_since = self.ready_since if was_ready else now
            self.opens_until = math.inf
        elif upstream.state is UpstreamState.DRAINING and was_ready:
            self.opens_until = min(self.opens_until, now + DRAIN_GRACE_SECONDS)
        else:
            self.ready_since = None
            self.opens_until = -math.inf

    def remove(self, now: Instant) -> None:
        """Note that the upstream is gone."""
        if self.gone_since is None:
            self.gone_since = now
        self.ready_since = None
        self.opens_until = -math.inf


class Targets:
    """All upstreams announced since the start of the process."""

    def __init__(self) -> None:
        self.by_index: list[Target] = []
        self.by_name: dict[UpstreamId, Target] = {}
        self.by_endpoint: dict[Endpoint, UpstreamId] = {}

    def update(
        self, changed: Iterable[Upstream], removed: Iterable[UpstreamId], now: Instant
    ) -> None:
        """Take over a change of the directory.

        Notes
        -----
        An upstream whose packet endpoint is announced by another one is gone: whatever listens
        there now knows none of its flows.
        """
        for name in removed:
            self._remove(name, now)
        for upstream in changed:
            self._add(upstream, now)

    def selected(self, selector: UpstreamSelector) -> Iterator[Target]:
        """Return the live upstreams that a service selects."""
        return (
            target for target in self.by_index if target.is_live and target.is_selected_by(selector)
        )

    def _add(self, upstream: Upstream, now: Instant) -> None:
        holder = self.by_endpoint.get(upstream.packets)
        if holder is not None and holder != upstream.upstream:
            self._remove(holder, now)
        target = self.by_name.get(upstream.upstream)
        if target is None:
            target = Target(len(self.by_index), upstream)
            self.by_index.append(target)
            self.by_name[upstream.upstream] = target
        elif upstream.incarnation < target.upstream.incarnation:
            return
        elif self.by_endpoint.get(target.upstream.packets) == upstream.upstream:
            del self.by_endpoint[target.upstream.packets]
        self.by_endpoint[upstream.packets] = upstream.upstream
        target.update(upstream, now)

    def _remove(self, name: UpstreamId, now: Instant) -> None:
        target = self.by_name.get(name)
        if target is None:
            return
        if self.by_endpoint.get(target.upstream.packets) == name:
            del self.by_endpoint[target.upstream.packets]
        target.remove(now)
