"""The announcement keeper of a control instance: table, spread to its peers, feed to balancers."""

from typing import Any

import msgspec

from chicorypost.announcements._feed import Feed
from chicorypost.announcements._messages import (
    AnnouncementTableReply,
    AnnouncementTableRequest,
    ChangesReplicated,
    DocumentRequest,
    ReplicateChanges,
    ReportContacts,
    Subscribe,
    UpstreamContact,
)
from chicorypost.announcements._records import (
    AnnouncedStatus,
    AnnouncementOutcome,
    LeaveNotice,
    ListedUpstream,
    PeerConnected,
    PeerDisconnected,
    PeersChanged,
    TableChanged,
    TableRestored,
    UpstreamCallCompleted,
    UpstreamCallReceived,
    VersionApplied,
)
from chicorypost.announcements._settings import AnnouncementSettings
from chicorypost.announcements._table import MS_PER_SECOND, AnnouncementTable
from chicorypost.base import (
    Effect,
    Event,
    InstanceId,
    Instant,
    Message,
    Received,
    Send,
    Tick,
    UpstreamId,
)


class PendingCall(msgspec.Struct):
    """A call whose answer waits for peers to hold the change numbered `number`."""

    call_id: str
    outcome: AnnouncementOutcome
    change_number: int
    unconfirmed_peers: set[InstanceId]
    deadline: Instant


class Dissemination(msgspec.Struct):
    """Changes and signs of life on their way to the other control instances."""

    next_send_at: Instant
    change_number: int = 0
    contacts: dict[UpstreamId, UpstreamContact] = msgspec.field(default_factory=dict)


class AnnouncementRegistry:
    """Takes the calls of upstreams and tells control instances and balancers of them.

    Parameters
    ----------
    settings : AnnouncementSettings
        Times.
    feed : int
        Number of this run of the process; other than that of any earlier run.
    now : Instant
        Current time.

    Notes
    -----
    A call that ends the use of an upstream is answered only when the peers in touch hold it, so
    that it isn't lost with this process. The table of a process that has just started lacks
    upstreams: `complete` stays False until every live one had the time to call, or until a peer
    with a complete table has sent it.
    """

    def __init__(self, settings: AnnouncementSettings, feed: int, now: Instant) -> None:
        self.settings = settings
        self.table = AnnouncementTable()
        self.feed = Feed(settings, feed)
        self.dissemination = Dissemination(next_send_at=now)
        self.peers: tuple[InstanceId, ...] = ()
        self.connected_peers: set[InstanceId] = set()
        self.pending_calls: list[PendingCall] = []
        self.complete_at = Instant(now + settings.silent_seconds)
        self.is_complete = False
        self.effects: list[Effect] = []

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        self.effects = []
        match event:
            case UpstreamCallReceived():
                self._process_call(event, now)
            case Received(sender, message):
                self._receive(sender, message, now)
            case PeersChanged(peers, controls):
                self._update_peers(peers)
                self.effects += self.feed.set_controls(controls, now)
            case PeerConnected(peer):
                if peer in self.peers:
                    self.connected_peers.add(peer)
                    self._send(peer, AnnouncementTableRequest())
            case PeerDisconnected(peer):
                self.connected_peers.discard(peer)
                self._record_acknowledgement(peer, self.dissemination.change_number)
            case TableRestored(listed):
                # How long the process was down isn't known: each upstream has the time to call.
                for item in listed:
                    self.table.record_announcement(item.announcement, now)
            case VersionApplied(document):
                self.effects += self.feed.set_document(document, now)
            case Tick():
                self._check_deadlines(now)
            case _:
                raise TypeError(f"event is not for the keeper: got {type(event).__name__}")
        return self.effects

    def list_all_upstreams(self, now: Instant) -> tuple[ListedUpstream, ...]:
        """Return the whole table."""
        return self.table.list(now, list(self.table.entries))

    def next_deadline(self) -> Instant | None:
        """Return when the keeper next wants a `Tick`."""
        return min(
            [self.dissemination.next_send_at, *(held.deadline for held in self.pending_calls)]
        )

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "complete": self.is_complete,
            "peers": list(self.peers),
            "connected": sorted(self.connected_peers),
            "upstreams": {
                name: [
                    entry.announcement.status.value,
                    "silent" if entry.is_silent else "heard",
                    entry.announcement.started_at_ms,
                    entry.announcement.sequence,
                ]
                for name, entry in self.table.entries.items()
            },
            "subscribers": sorted(self.feed.subscribers),
        }

    def _send(self, to: InstanceId, message: Message) -> None:
        self.effects.append(Send(to, message))

    def _process_call(self, event: UpstreamCallReceived, now: Instant) -> None:
        content = event.content
        if isinstance(content, LeaveNotice):
            outcome, changed = self.table.record_leave(content)
        else:
            outcome, changed = self.table.record_announcement(content, now)
        entry = self.table.entries.get(content.upstream)
        if entry is not None and outcome is AnnouncementOutcome.ACCEPTED:
            held = entry.announcement
            draining = held.status is not AnnouncedStatus.READY
            heard = UpstreamContact(held.upstream, held.started_at_ms, draining)
            self.dissemination.contacts[held.upstream] = heard
        self._publish(changed, now, spread=True)
        ends = entry is not None and entry.announcement.status is not AnnouncedStatus.READY
        if changed and ends and self.connected_peers:
            until = Instant(now + self.settings.hold_seconds)
            waiting = set(self.connected_peers)
            held_call = PendingCall(
                event.call_id, outcome, self.dissemination.change_number, waiting, until
            )
            self.pending_calls.append(held_call)
        else:
            self.effects.append(UpstreamCallCompleted(event.call_id, outcome))

    def _publish(self, changed: list[UpstreamId], now: Instant, spread: bool) -> None:
        """Tell balancers what changed, and peers too if they don't know it."""
        if not changed:
            return
        listed = self.table.list(now, changed)
        self.effects.append(TableChanged())
        if spread:
            self.dissemination.change_number += 1
            for peer in self.peers:
                self._send(peer, ReplicateChanges(self.dissemination.change_number, listed))
        self.effects += self.feed.publish(listed, self.is_complete, now)

    def _receive(self, sender: InstanceId, message: Message, now: Instant) -> None:
        match message:
            case ReplicateChanges(change_number=number, listed=listed):
                self._merge_table(listed, now)
                self._send(sender, ChangesReplicated(number))
            case ChangesReplicated(change_number=number):
                self._record_acknowledgement(sender, number)
            case ReportContacts(contacts=heard):
                self._merge_contacts(sender, heard, now)
            case AnnouncementTableRequest():
                self._send(
                    sender, AnnouncementTableReply(self.is_complete, self.list_all_upstreams(now))
                )
            case AnnouncementTableReply(is_complete=complete, listed=listed):
                self._merge_table(listed, now)
                if complete and not self.is_complete:
                    self._mark_complete(now)
            case Subscribe():
                everything = self.list_all_upstreams(now)
                self.effects += self.feed.subscribe(
                    sender, message, everything, self.is_complete, now
                )
            case DocumentRequest():
                self.effects += self.feed.send_document(sender)
            case _:
                raise TypeError(f"message is not for the keeper: got {type(message).__name__}")

    def _merge_table(self, listed: tuple[ListedUpstream, ...], now: Instant) -> None:
        changed: list[UpstreamId] = []
        for item in listed:
            heard_at = Instant(now - item.age_ms / MS_PER_SECOND)
            changed += self.table.record_announcement(item.announcement, heard_at)[1]
        self._publish(changed, now, spread=False)

    def _merge_contacts(
        self, sender: InstanceId, heard: tuple[UpstreamContact, ...], now: Instant
    ) -> None:
        changed: list[UpstreamId] = []
        is_behind = False
        for item in heard:
            found = self.table.record_contact(item, now)
            is_behind = is_behind or found is None
            changed += found or []
        self._publish(changed, now, spread=False)
        if is_behind:
            self._send(sender, AnnouncementTableRequest())

    def _record_acknowledgement(self, peer: InstanceId, number: int) -> None:
        for held in self.pending_calls:
            if held.change_number <= number:
                held.unconfirmed_peers.discard(peer)
        self._complete_calls([held for held in self.pending_calls if not held.unconfirmed_peers])

    def _complete_calls(self, answered: list[PendingCall]) -> None:
        for held in answered:
            self.pending_calls.remove(held)
            self.effects.append(UpstreamCallCompleted(held.call_id, held.outcome))

    def _update_peers(self, peers: tuple[InstanceId, ...]) -> None:
        for peer in set(peers) - set(self.peers):
            self._send(peer, AnnouncementTableRequest())
        for peer in set(self.peers) - set(peers):
            self.connected_peers.discard(peer)
            self._record_acknowledgement(peer, self.dissemination.change_number)
        self.peers = peers

    def _mark_complete(self, now: Instant) -> None:
        self.is_complete = True
        self.effects += self.feed.publish((), self.is_complete, now)

    def _check_deadlines(self, now: Instant) -> None:
        self._complete_calls([held for held in self.pending_calls if now >= held.deadline])
        if now < self.dissemination.next_send_at:
            return
        self.dissemination.next_send_at = Instant(now + self.settings.spread_seconds)
        if self.dissemination.contacts:
            message = ReportContacts(tuple(self.dissemination.contacts.values()))
            for peer in self.peers:
                self._send(peer, message)
            self.dissemination.contacts.clear()
        if not self.is_complete and now >= self.complete_at:
            self._mark_complete(now)
        silent = self.table.mark_silent(now, self.settings.silent_seconds)
        self._publish(silent, now, spread=False)
        self.table.remove_expired(now, self.settings.forget_seconds)
        self.feed.remove_expired_subscribers(now)
