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
    until: Instant


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
        self.number = number
        self.subscribers: dict[InstanceId, Subscriber] = {}
        self.controls: tuple[InstanceId, ...] = ()
        self.version: Version = NO_VERSION
        self.document: RoutingDocument | None = None
        self.complete = False

    def subscribe(
        self,
        sender: InstanceId,
        message: Subscribe,
        everything: tuple[ListedUpstream, ...],
        complete: bool,
        now: Instant,
    ) -> list[Effect]:
        """Take a subscription; the whole table follows if the balancer lacks a page."""
        self.complete = complete
        until = Instant(now + self.settings.subscriber_seconds)
        subscriber = self.subscribers.get(sender)
        if subscriber is not None and self._is_in_step(subscriber, message, now):
            subscriber.until = until
            return []
        position = subscriber.position if subscriber is not None else 0
        subscriber = Subscriber(position, now, until)
        self.subscribers[sender] = subscriber
        return [self._next_page(sender, subscriber, everything, True, now)]

    def _is_in_step(self, subscriber: Subscriber, message: Subscribe, now: Instant) -> bool:
        if message.feed != self.number:
            return False
        if message.position == subscriber.position:
            return True
        # A page may have crossed this message; a page that is older was lost.
        return now - subscriber.sent_at < self.settings.subscribe_seconds and message.position > 0

    def push(
        self, listed: tuple[ListedUpstream, ...], complete: bool, now: Instant
    ) -> list[Effect]:
        """Send a page of changes to every subscriber."""
        self.complete = complete
        return [
            self._next_page(name, subscriber, listed, False, now)
            for name, subscriber in self.subscribers.items()
        ]

    def set_controls(self, controls: tuple[InstanceId, ...], now: Instant) -> list[Effect]:
        """Tell balancers of other control instances."""
        if controls == self.controls:
            return []
        self.controls = controls
        return self.push((), self.complete, now)

    def set_document(self, document: RoutingDocument, now: Instant) -> list[Effect]:
        """Tell balancers that there is a newer configuration."""
        self.document = document
        self.version = document.version
        return self.push((), self.complete, now)

    def request_document(self, sender: InstanceId) -> list[Effect]:
        """Return the newest configuration to a balancer."""
        if self.document is None:
            return []
        return [Send(sender, DocumentReply(self.document))]

    def drop_silent(self, now: Instant) -> None:
        """Forget balancers that have not repeated their subscription."""
        gone = [name for name, entry in self.subscribers.items() if now >= entry.until]
        for name in gone:
            del self.subscribers[name]

    def _next_page(
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
            self.number,
            subscriber.position,
            whole,
            self.complete,
            listed,
            self.controls,
            self.version,
        )
        return Send(name, page)
