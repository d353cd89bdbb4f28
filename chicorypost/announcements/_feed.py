"""The feed of a control instance: pages of changes for each subscribed balancer."""

from collections.abc import Callable

import msgspec

from chicorypost.announcements._messages import DocumentReply, FeedPage, Subscribe
from chicorypost.announcements._records import ListedUpstream
from chicorypost.announcements._settings import AnnouncementSettings
from chicorypost.base import Effect, InstanceId, Instant, Send, Version
from chicorypost.routing import NO_VERSION, RoutingDocument


class Subscriber(msgspec.Struct):
    """Subscription of one balancer: its last page, when that was sent, and when it expires."""

    position: int
    sent_at: Instant
    expires_at: Instant


class Feed:
    """Sends each subscriber the full table once, and changes after that.

    Parameters
    ----------
    settings : AnnouncementSettings
        Intervals and timeouts.
    feed_id : int
        Identifies this run of the process.
    """

    def __init__(self, settings: AnnouncementSettings, feed_id: int) -> None:
        self.settings = settings
        self.feed_id = feed_id
        self.subscribers: dict[InstanceId, Subscriber] = {}
        self.controls: tuple[InstanceId, ...] = ()
        self.version: Version = NO_VERSION
        self.document: RoutingDocument | None = None
        self.is_complete = False

    def subscribe(
        self,
        sender: InstanceId,
        message: Subscribe,
        list_all_upstreams: Callable[[Instant], tuple[ListedUpstream, ...]],
        is_complete: bool,
        now: Instant,
    ) -> list[Effect]:
        """Add or renew a subscription; send the full table if the balancer has missed a page.

        The table is listed only if it is sent: each balancer renews its subscription every second.
        """
        self.is_complete = is_complete
        expires_at = Instant(now + self.settings.subscriber_seconds)
        subscriber = self.subscribers.get(sender)
        if subscriber is not None and self._is_current(subscriber, message, now):
            subscriber.expires_at = expires_at
            return []
        position = subscriber.position if subscriber is not None else 0
        subscriber = Subscriber(position, now, expires_at)
        self.subscribers[sender] = subscriber
        return [self._make_next_page(sender, subscriber, list_all_upstreams(now), True, now)]

    def _is_current(self, subscriber: Subscriber, message: Subscribe, now: Instant) -> bool:
        if message.feed_id != self.feed_id:
            return False
        if message.position == subscriber.position:
            return True
        # The latest page may still be in flight; after `subscribe_seconds` it counts as lost.
        return now - subscriber.sent_at < self.settings.subscribe_seconds and message.position > 0

    def publish(
        self, listed: tuple[ListedUpstream, ...], is_complete: bool, now: Instant
    ) -> list[Effect]:
        """Send a page of changes to every subscriber."""
        self.is_complete = is_complete
        return [
            self._make_next_page(name, subscriber, listed, False, now)
            for name, subscriber in self.subscribers.items()
        ]

    def set_controls(self, controls: tuple[InstanceId, ...], now: Instant) -> list[Effect]:
        """Send the list of control instances to every subscriber if it has changed."""
        if controls == self.controls:
            return []
        self.controls = controls
        return self.publish((), self.is_complete, now)

    def set_document(self, document: RoutingDocument, now: Instant) -> list[Effect]:
        """Store a newer configuration and send its version to every subscriber."""
        self.document = document
        self.version = document.version
        return self.publish((), self.is_complete, now)

    def send_document(self, sender: InstanceId) -> list[Effect]:
        """Send the newest configuration to a balancer, if there is one."""
        if self.document is None:
            return []
        return [Send(sender, DocumentReply(self.document))]

    def remove_expired_subscribers(self, now: Instant) -> None:
        """Remove balancers that have not renewed their subscription in time."""
        expired = [name for name, entry in self.subscribers.items() if now >= entry.expires_at]
        for name in expired:
            del self.subscribers[name]

    def _make_next_page(
        self,
        name: InstanceId,
        subscriber: Subscriber,
        listed: tuple[ListedUpstream, ...],
        is_full: bool,
        now: Instant,
    ) -> Effect:
        subscriber.position += 1
        subscriber.sent_at = now
        page = FeedPage(
            self.feed_id,
            subscriber.position,
            is_full,
            self.is_complete,
            listed,
            self.controls,
            self.version,
        )
        return Send(name, page)
