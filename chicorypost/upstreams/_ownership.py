"""Term of ownership of upstreams by this balancer as their dispatcher."""

from chicorypost.base import InstanceId, Instant, UpstreamId, View
from chicorypost.upstreams._placement import dispatcher_of
from chicorypost.upstreams._settings import DispatcherSettings


class DispatchOwnership:
    """Determines from recent views until when exchanges of other dispatchers may run.

    Another dispatcher may have started exchanges until the end of the last view in which it was
    the dispatcher, and no exchange lasts longer than `max_exchange_seconds`. A balancer without a
    lease for that long may have missed entire views, so it discards the earlier views.
    """

    def __init__(self, settings: DispatcherSettings, instance: InstanceId) -> None:
        self.settings = settings
        self.instance = instance
        self.views: list[tuple[View, Instant]] = []

    @property
    def view(self) -> View | None:
        """The current view."""
        return self.views[-1][0] if self.views else None

    @property
    def former_view(self) -> View | None:
        """The view before the current one, or None if this balancer did not act in it."""
        return self.views[-2][0] if len(self.views) > 1 else None

    def may_have_missed_views(self, lease_end: Instant | None, now: Instant) -> bool:
        """Return whether other balancers may have started exchanges in views missed here."""
        return lease_end is None or now - lease_end >= self.settings.max_exchange_seconds

    def apply_view(self, view: View, lease_end: Instant | None, now: Instant) -> None:
        """Append the next view; `lease_end` is the end of the last lease before it."""
        longest = self.settings.max_exchange_seconds
        if self.may_have_missed_views(lease_end, now):
            self.views.clear()
        self.views.append((view, now))
        while len(self.views) > 2 and self.views[1][1] <= now - longest:
            del self.views[0]

    def blocked_until(self, upstream: UpstreamId) -> Instant:
        """Return until when exchanges of other dispatchers may run at an upstream."""
        owned_since = Instant(0.0)
        for view, applied_at in reversed(self.views):
            owner = dispatcher_of(view, upstream)
            if owner is None or owner.instance != self.instance:
                break
            owned_since = applied_at
        return Instant(owned_since + self.settings.max_exchange_seconds)

    def may_be_former_dispatcher(self, instance: InstanceId, upstream: UpstreamId) -> bool:
        """Return whether an instance may have been the dispatcher in the previous view."""
        if self.former_view is None:
            return True
        owner = dispatcher_of(self.former_view, upstream)
        return owner is not None and owner.instance == instance
