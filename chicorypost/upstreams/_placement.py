"""Incremental rendezvous placement of upstreams on the members of a view."""

from collections.abc import Iterable

from chicorypost.base import InstanceId, Member, UpstreamId, View, rank_members, rendezvous_rank


def placement_key(upstream: UpstreamId) -> bytes:
    """Return the key under which an upstream is placed."""
    return b"dispatch/" + upstream.encode()


def dispatcher_of(view: View, upstream: UpstreamId) -> Member | None:
    """Return the one balancer of a view that may send requests to an upstream.

    The same balancer keeps the upstream's announcement.
    """
    return next(iter(rank_members(view, placement_key(upstream), 1)), None)


class DispatcherPlacement:
    """Remembers where each upstream is placed.

    A view change costs one comparison per upstream and joined member, plus a full ranking of
    only those upstreams whose member left.
    """

    def __init__(self) -> None:
        self.view: View | None = None
        self.member_names: frozenset[str] = frozenset()
        self.owners: dict[UpstreamId, InstanceId] = {}

    def owner_of(self, upstream: UpstreamId) -> InstanceId | None:
        """Return the member on which an upstream is placed, or None without a view."""
        known = self.owners.get(upstream)
        if known is None and self.member_names:
            best = rendezvous_rank(placement_key(upstream), self.member_names, 1)[0]
            known = self.owners[upstream] = InstanceId(best)
        return known

    def apply_view(self, view: View) -> None:
        """Take a new view and move the upstreams that it places elsewhere."""
        names = frozenset(str(member.instance) for member in view.members)
        joined, left = names - self.member_names, self.member_names - names
        self.view, self.member_names = view, names
        for upstream, owner in list(self.owners.items()):
            if owner in left:
                del self.owners[upstream]
            elif joined:
                best = rendezvous_rank(placement_key(upstream), [owner, *joined], 1)[0]
                self.owners[upstream] = InstanceId(best)

    def forget_upstreams(self, upstreams: Iterable[UpstreamId]) -> None:
        """Drop what is remembered of upstreams that no longer exist."""
        for upstream in upstreams:
            self.owners.pop(upstream, None)
