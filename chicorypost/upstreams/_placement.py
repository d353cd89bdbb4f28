"""Incremental rendezvous hashing of upstreams onto the members of a view."""

from collections.abc import Iterable

from chicorypost.base import InstanceId, Member, UpstreamId, View, rank_members, rendezvous_rank


def placement_key(upstream: UpstreamId) -> bytes:
    """Return the rendezvous hashing key of an upstream."""
    return b"dispatch/" + upstream.encode()


def dispatcher_of(view: View, upstream: UpstreamId) -> Member | None:
    """Return the only member of a view that may send requests to an upstream.

    The same balancer registers the announcements of the upstream.
    """
    return next(iter(rank_members(view, placement_key(upstream), 1)), None)


class DispatcherPlacement:
    """Cached placement of upstreams.

    A view change costs one comparison per upstream and joined member, plus a full ranking for each
    upstream whose member left.
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
        """Apply a new view and update the placement of affected upstreams."""
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
        """Drop the cached placement of removed upstreams."""
        for upstream in upstreams:
            self.owners.pop(upstream, None)
