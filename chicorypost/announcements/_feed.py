"""The feed of a control instance: pages of changes to each balancer that subscribes."""

import msgspec

from chicorypost.announcements._messages import DocumentReply, FeedPage, Subscribe
from chicorypost.announcements._records import ListedUpstream
from chicorypost.announcements._settings import AnnouncementSettings
from chicorypost.base import Effect, InstanceId, Instant, Send, Version
from chicorypost.routing import NO_VERSION, RoutingDocument


class Subscriber(msgspec.Struct):
    """One balancer: the last page sent to it, when, and until when it counts as subscribed."""

    position: int
    sent_at: Instant
    expires_at: Instant


class Feed:
    """Sends each subscriber the whole table once, then what changes.

    Parameters
    ----------
    settings : AnnouncementSettings
        Times.
    number : int
        Number of this run of the process.
    """

    def __init__(self, settings: AnnouncementSettings, number: int) -> None:
        self.settings = settings
        self.feed_id = number
        self.subscribers: dict[InstanceId, Subscriber] = {}
        self.controls: tuple[InstanceId, ...] = ()
        self.version: Version = NO_VERSION
        self.document: RoutingDocument | None = None
        self.is_complete = False

    def subscribe(
        self,
        sender: InstanceId,
        message: Subscribe,
        everything: tuple[ListedUpstream, ...],
        complete: bool,
        now: Instant,
    ) -> list[Effect]:
        """Take a subscription; the whole table follows if the balancer lacks a page."""
        self.is_complete = complete
        until = Instant(now + self.settings.subscriber_seconds)
        subscriber = self.subscribers.get(sender)
        if subscriber is not None and self._is_current(subscriber, message, now):
            subscriber.expires_at = until
            return []
        position = subscriber.position if subscriber is not None else 0
        subscriber = Subscriber(position, now, until)
        self.subscribers[sender] = subscriber
        return [self._make_next_page(sender, subscriber, everything, True, now)]

    def _is_current(self, subscriber: Subscriber, message: Subscribe, now: Instant) -> bool:
        if message.feed_id != self.feed_id:
            return False
        if message.position == subscriber.position:
            return True
        # A page may have crossed this message; a page that is older was lost.
        return now - subscriber.sent_at < self.settings.subscribe_seconds and message.position > 0

    def publish(
        self, listed: tuple[ListedUpstream, ...], complete: bool, now: Instant
    ) -> list[Effect]:
        """Send a page of changes to every subscriber."""
        self.is_complete = complete
        return [
            self._make_next_page(name, subscriber, listed, False, now)
            for name, subscriber in self.subscribers.items()
        ]

    def set_controls(self, controls: tuple[InstanceId, ...], now: Instant) -> list[Effect]:
        """Tell balancers of other control instances."""
        if controls == self.controls:
            return []
        self.controls = controls
        return self.publish((), self.is_complete, now)

    def set_document(self, document: RoutingDocument, now: Instant) -> list[Effect]:
        """Tell balancers that there is a newer configuration."""
        self.document = document
        self.version = document.version
        return self.publish((), self.is_complete, now)

    def send_document(self, sender: InstanceId) -> list[Effect]:
        """Return the newest configuration to a balancer."""
        if self.document is None:
            return []
        return [Send(sender, DocumentReply(self.document))]

    def remove_expired_subscribers(self, now: Instant) -> None:
        """Forget balancers that have not repeated their subscription."""
        gone = [name for name, entry in self.subscribers.items() if now >= entry.expires_at]
        for name in gone:
            del self.subscribers[name]

    def _make_next_page(
        self,
        name: InstanceId,
        subscriber: Subscriber,
        listed: tuple[ListedUpstream, ...],
        whole: bool,
        now: Instant,
    ) -> Effect:
        subscriber.position += 1
        subscriber.sent_at = now
        page = FeedPage(
            self.feed_id,
            subscriber.position,
            whole,
            self.is_complete,
            listed,
            self.controls,
            self.version,
        )
        return Send(name, page)
