"""The announcement keeper of a control instance: table, spread to its peers, feed to balancers."""

from typing import Any

import msgspec

from chicorypost.announcements._feed import Feed
from chicorypost.announcements._messages import (
    ChangesHeld,
    DocumentRequest,
    HeardUpstream,
    SpreadChanges,
    SpreadHeard,
    Subscribe,
    TableReply,
    TableRequest,
)
from chicorypost.announcements._records import (
    Announced,
    AnnouncementDone,
    AnnouncementOutcome,
    Leaving,
    ListedUpstream,
    PeerGone,
    PeerReached,
    PeersChanged,
    Standing,
    TableChanged,
    TableRestored,
    VersionApplied,
)
from chicorypost.announcements._settings import AnnouncementSettings
from chicorypost.announcements._table import MILLISECONDS, AnnouncementTable
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


class HeldCall(msgspec.Struct):
    """A call whose answer waits for peers to hold the change numbered `number`."""

    call: str
    outcome: AnnouncementOutcome
    number: int
    waiting: set[InstanceId]
    until: Instant


class Spread(msgspec.Struct):
    """Changes and signs of life on their way to the other control instances."""

    next_at: Instant
    number: int = 0
    heard: dict[UpstreamId, HeardUpstream] = msgspec.field(default_factory=dict)


class AnnouncementKeeper:
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
        self.spread = Spread(next_at=now)
        self.peers: tuple[InstanceId, ...] = ()
        self.connected: set[InstanceId] = set()
        self.held_calls: list[HeldCall] = []
        self.complete_at = Instant(now + settings.silent_seconds)
        self.complete = False
        self.effects: list[Effect] = []

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        self.effects = []
        match event:
            case Announced():
                self._take_call(event, now)
            case Received(sender, message):
                self._receive(sender, message, now)
            case PeersChanged(peers, controls):
                self._change_peers(peers)
                self.effects += self.feed.set_controls(controls, now)
            case PeerReached(peer):
                if peer in self.peers:
                    self.connected.add(peer)
                    self._send(peer, TableRequest())
            case PeerGone(peer):
                self.connected.discard(peer)
                self._confirm(peer, self.spread.number)
            case TableRestored(listed):
                # How long the process was down isn't known: each upstream has the time to call.
                for item in listed:
                    self.table.take(item.announcement, now)
            case VersionApplied(document):
                self.effects += self.feed.set_document(document, now)
            case Tick():
                self._check_deadlines(now)
            case _:
                raise TypeError(f"event is not for the keeper: got {type(event).__name__}")
        return self.effects

    def list_all(self, now: Instant) -> tuple[ListedUpstream, ...]:
        """Return the whole table."""
        return self.table.list(now, list(self.table.entries))

    def next_deadline(self) -> Instant | None:
        """Return when the keeper next wants a `Tick`."""
        return min([self.spread.next_at, *(held.until for held in self.held_calls)])

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "complete": self.complete,
            "peers": list(self.peers),
            "connected": sorted(self.connected),
            "upstreams": {
                name: [
                    entry.announcement.standing.value,
                    "silent" if entry.silent else "heard",
                    entry.announcement.born_ms,
                    entry.announcement.sequence,
                ]
                for name, entry in self.table.entries.items()
            },
            "subscribers": sorted(self.feed.subscribers),
        }

    def _send(self, to: InstanceId, message: Message) -> None:
        self.effects.append(Send(to, message))

    def _take_call(self, event: Announced, now: Instant) -> None:
        content = event.content
        if isinstance(content, Leaving):
            outcome, changed = self.table.leave(content)
        else:
            outcome, changed = self.table.take(content, now)
        entry = self.table.entries.get(content.upstream)
        if entry is not None and outcome is AnnouncementOutcome.HELD:
            held = entry.announcement
            draining = held.standing is not Standing.READY
            heard = HeardUpstream(held.upstream, held.born_ms, draining)
            self.spread.heard[held.upstream] = heard
        self._publish(changed, now, spread=True)
        ends = entry is not None and entry.announcement.standing is not Standing.READY
        if changed and ends and self.connected:
            until = Instant(now + self.settings.hold_seconds)
            waiting = set(self.connected)
            held_call = HeldCall(event.call, outcome, self.spread.number, waiting, until)
            self.held_calls.append(held_call)
        else:
            self.effects.append(AnnouncementDone(event.call, outcome))

    def _publish(self, changed: list[UpstreamId], now: Instant, spread: bool) -> None:
        """Tell balancers what changed, and peers too if they don't know it."""
        if not changed:
            return
        listed = self.table.list(now, changed)
        self.effects.append(TableChanged())
        if spread:
            self.spread.number += 1
            for peer in self.peers:
                self._send(peer, SpreadChanges(self.spread.number, listed))
        self.effects += self.feed.push(listed, self.complete, now)

    def _receive(self, sender: InstanceId, message: Message, now: Instant) -> None:
        match message:
            case SpreadChanges(number=number, listed=listed):
                self._merge(listed, now)
                self._send(sender, ChangesHeld(number))
            case ChangesHeld(number=number):
                self._confirm(sender, number)
            case SpreadHeard(heard=heard):
                self._hear(sender, heard, now)
            case TableRequest():
                self._send(sender, TableReply(self.complete, self.list_all(now)))
            case TableReply(complete=complete, listed=listed):
                self._merge(listed, now)
                if complete and not self.complete:
                    self._become_complete(now)
            case Subscribe():
                everything = self.list_all(now)
                self.effects += self.feed.subscribe(sender, message, everything, self.complete, now)
            case DocumentRequest():
                self.effects += self.feed.request_document(sender)
            case _:
                raise TypeError(f"message is not for the keeper: got {type(message).__name__}")

    def _merge(self, listed: tuple[ListedUpstream, ...], now: Instant) -> None:
        changed: list[UpstreamId] = []
        for item in listed:
            heard_at = Instant(now - item.age_ms / MILLISECONDS)
            changed += self.table.take(item.announcement, heard_at)[1]
        self._publish(changed, now, spread=False)

    def _hear(self, sender: InstanceId, heard: tuple[HeardUpstream, ...], now: Instant) -> None:
        changed: list[UpstreamId] = []
        is_behind = False
        for item in heard:
            found = self.table.hear(item, now)
            is_behind = is_behind or found is None
            changed += found or []
        self._publish(changed, now, spread=False)
        if is_behind:
            self._send(sender, TableRequest())

    def _confirm(self, peer: InstanceId, number: int) -> None:
        for held in self.held_calls:
            if held.number <= number:
                held.waiting.discard(peer)
        self._answer_calls([held for held in self.held_calls if not held.waiting])

    def _answer_calls(self, answered: list[HeldCall]) -> None:
        for held in answered:
            self.held_calls.remove(held)
            self.effects.append(AnnouncementDone(held.call, held.outcome))

    def _change_peers(self, peers: tuple[InstanceId, ...]) -> None:
        for peer in set(peers) - set(self.peers):
            self._send(peer, TableRequest())
        for peer in set(self.peers) - set(peers):
            self.connected.discard(peer)
            self._confirm(peer, self.spread.number)
        self.peers = peers

    def _become_complete(self, now: Instant) -> None:
        self.complete = True
        self.effects += self.feed.push((), self.complete, now)

    def _check_deadlines(self, now: Instant) -> None:
        self._answer_calls([held for held in self.held_calls if now >= held.until])
        if now < self.spread.next_at:
            return
        self.spread.next_at = Instant(now + self.settings.spread_seconds)
        if self.spread.heard:
            message = SpreadHeard(tuple(self.spread.heard.values()))
            for peer in self.peers:
                self._send(peer, message)
            self.spread.heard.clear()
        if not self.complete and now >= self.complete_at:
            self._become_complete(now)
        silent = self.table.find_silent(now, self.settings.silent_seconds)
        self._publish(silent, now, spread=False)
        self.table.forget(now, self.settings.forget_seconds)
        self.feed.drop_silent(now)
