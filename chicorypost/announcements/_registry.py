"""The announcement registry of a control instance: table, replication to peers, feed."""

from typing import Any

import msgspec

from chicorypost.announcements._entry_checks import select_usable
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
    EvacuationsChanged,
    JudgementsChanged,
    LeaveNotice,
    ListedUpstream,
    PeerConnected,
    PeerDisconnected,
    PeersChanged,
    TableChanged,
    TableRestored,
    TableSaved,
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
    """A call whose response waits until the change `change_number` is saved and replicated."""

    call_id: str
    outcome: AnnouncementOutcome
    change_number: int
    unconfirmed_peers: set[InstanceId]
    deadline: Instant
    is_saved: bool = False


class Dissemination(msgspec.Struct):
    """State of the dissemination to peers: last change number and contacts not yet reported."""

    next_send_at: Instant
    change_number: int = 0
    contacts: dict[UpstreamId, UpstreamContact] = msgspec.field(default_factory=dict)


class AnnouncementRegistry:
    """Processes calls of upstreams and disseminates them to control instances and balancers.

    Parameters
    ----------
    settings : AnnouncementSettings
        Intervals and timeouts.
    feed_id : int
        Identifies this run of the process; differs from that of any earlier run.
    now : Instant
        Current time.

    Notes
    -----
    The response to a call that takes an upstream out of use waits until it is on disk and all
    connected peers have replicated it, or `hold_seconds` have passed, so that neither a crash of
    this process nor one of all processes loses it.
    The table of a process that has just started lacks upstreams: `is_complete` stays False until
    every live upstream has had time to call, or until a peer sends a complete table. Until then the
    leave notice of an unknown upstream is refused: acknowledging it would lose it, and a peer that
    lists the upstream would keep it in use.

    A restored table may be old, so its upstreams are listed as silent until they call: a balancer
    uses them only if it knows no complete table that contradicts.
    """

    def __init__(self, settings: AnnouncementSettings, feed_id: int, now: Instant) -> None:
        self.settings = settings
        self.table = AnnouncementTable()
        self.feed = Feed(settings, feed_id, self.table, now)
        self.dissemination = Dissemination(next_send_at=now)
        self.peers: tuple[InstanceId, ...] = ()
        self.connected_instances: set[InstanceId] = set()
        """Balancers, and control instances also before they are known as peers."""
        self.pending_calls: list[PendingCall] = []
        self.complete_at = Instant(now + settings.silent_seconds)
        self.is_complete = False
        self.effects: list[Effect] = []

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process one event and return the effects in execution order."""
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
                self.connected_instances.add(peer)
                if peer in self.peers:
                    self._send(peer, AnnouncementTableRequest())
            case PeerDisconnected(peer):
                self.connected_instances.discard(peer)
                self._record_acknowledgement(peer, self.dissemination.change_number)
            case TableRestored(listed):
                self._restore_table(listed, now)
            case TableSaved(change_number):
                self._record_save(change_number)
            case JudgementsChanged(judgements):
                self.effects += self.feed.set_judgements(judgements, now)
            case VersionApplied(document):
                self.table.limited_services = frozenset(
                    spec.service for spec in document.services if spec.warmup_seconds > 0
                )
                self.effects += self.feed.set_document(document, now)
            case EvacuationsChanged(evacuations):
                self.effects += self.feed.set_evacuations(evacuations, now)
            case Tick():
                self._check_deadlines(now)
            case _:
                raise TypeError(
                    f"registry received an unsupported event: got {type(event).__name__}"
                )
        return self.effects

    def list_all_upstreams(self, now: Instant) -> tuple[ListedUpstream, ...]:
        """Return all entries of the table."""
        return self.table.list_upstreams(now, list(self.table.entries))

    def next_deadline(self) -> Instant | None:
        """Return when the registry next needs a `Tick`."""
        deadlines = [pending.deadline for pending in self.pending_calls]
        page_due_at = self.feed.next_deadline()
        if page_due_at is not None:
            deadlines.append(page_due_at)
        return min([self.dissemination.next_send_at, *deadlines])

    def dump(self) -> dict[str, Any]:
        """Return the complete decision state as JSON-compatible values."""
        return {
            "complete": self.is_complete,
            "peers": list(self.peers),
            "connected": sorted(self._find_connected_peers()),
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
            if outcome is AnnouncementOutcome.UNKNOWN and not self.is_complete:
                outcome = AnnouncementOutcome.NOT_YET_KNOWN
        else:
            outcome, changed = self.table.record_announcement(content, now)
        entry = self.table.entries.get(content.upstream)
        if entry is not None and outcome is AnnouncementOutcome.ACCEPTED:
            latest = entry.announcement
            is_draining = latest.status is not AnnouncedStatus.READY
            contact = UpstreamContact(latest.upstream, latest.started_at_ms, is_draining)
            self.dissemination.contacts[latest.upstream] = contact
        self._publish(changed, now, replicate=True)
        ends_use = entry is not None and entry.announcement.status is not AnnouncedStatus.READY
        if changed and ends_use:
            deadline = Instant(now + self.settings.hold_seconds)
            unconfirmed_peers = self._find_connected_peers()
            pending_call = PendingCall(
                event.call_id,
                outcome,
                self.dissemination.change_number,
                unconfirmed_peers,
                deadline,
            )
            self.pending_calls.append(pending_call)
        else:
            self.effects.append(UpstreamCallCompleted(event.call_id, outcome))

    def _publish(self, changed: list[UpstreamId], now: Instant, replicate: bool) -> None:
        """Send changed entries to balancers and, if `replicate`, to peers."""
        if not changed:
            return
        if replicate:
            self.dissemination.change_number += 1
        self.effects.append(TableChanged(self.dissemination.change_number))
        if replicate:
            listed = self.table.list_upstreams(now, changed)
            for peer in self.peers:
                self._send(peer, ReplicateChanges(self.dissemination.change_number, listed))
        self.effects += self.feed.publish(changed, self.is_complete, now)

    def _receive(self, sender: InstanceId, message: Message, now: Instant) -> None:
        match message:
            case ReplicateChanges(change_number=change_number, listed=listed):
                self._merge_table(sender, listed, now)
                self._send(sender, ChangesReplicated(change_number))
            case ChangesReplicated(change_number=change_number):
                self._record_acknowledgement(sender, change_number)
            case ReportContacts(contacts=contacts):
                self._merge_contacts(sender, contacts, now)
            case AnnouncementTableRequest():
                self._send(
                    sender, AnnouncementTableReply(self.is_complete, self.list_all_upstreams(now))
                )
            case AnnouncementTableReply(is_complete=is_complete, listed=listed):
                self._merge_table(sender, listed, now)
                if is_complete and not self.is_complete:
                    self._mark_complete(now)
            case Subscribe():
                self.effects += self.feed.subscribe(sender, message, self.is_complete, now)
            case DocumentRequest(held_version=held_version):
                self.effects += self.feed.send_document(sender, held_version)
            case _:
                raise TypeError(
                    f"registry received an unsupported message: got {type(message).__name__}"
                )

    def _merge_table(
        self, sender: InstanceId, listed: tuple[ListedUpstream, ...], now: Instant
    ) -> None:
        usable, events = select_usable(listed, sender)
        self.effects += events
        changed: list[UpstreamId] = []
        for item in usable:
            received_at = Instant(now - item.age_ms / MS_PER_SECOND)
            is_recent = not item.is_silent and now - received_at < self.settings.silent_seconds
            changed += self.table.record_announcement(item.announcement, received_at, is_recent)[1]
        self._publish(changed, now, replicate=False)

    def _restore_table(self, listed: tuple[ListedUpstream, ...], now: Instant) -> None:
        usable, events = select_usable(listed, "disk")
        self.effects += events
        for item in usable:
            # The downtime is unknown, so each upstream is remembered for the full time again.
            if not item.is_silent or item.announcement.status is AnnouncedStatus.GONE:
                remaining_ms = max(0, item.announcement.warmup_ms - item.age_ms)
                restored = msgspec.structs.replace(item.announcement, warmup_ms=remaining_ms)
                self.table.record_announcement(restored, now, is_recent=False)

    def _record_save(self, change_number: int) -> None:
        for pending in self.pending_calls:
            pending.is_saved = pending.is_saved or pending.change_number <= change_number
        self._complete_confirmed_calls()

    def _merge_contacts(
        self, sender: InstanceId, contacts: tuple[UpstreamContact, ...], now: Instant
    ) -> None:
        changed: list[UpstreamId] = []
        is_behind = False
        for item in contacts:
            revived = self.table.record_contact(item, now)
            is_behind = is_behind or revived is None
            changed += revived or []
        self._publish(changed, now, replicate=False)
        if is_behind:
            self._send(sender, AnnouncementTableRequest())

    def _record_acknowledgement(self, peer: InstanceId, change_number: int) -> None:
        for pending in self.pending_calls:
            if pending.change_number <= change_number:
                pending.unconfirmed_peers.discard(peer)
        self._complete_confirmed_calls()

    def _complete_confirmed_calls(self) -> None:
        self._complete_calls(
            [
                pending
                for pending in self.pending_calls
                if pending.is_saved and not pending.unconfirmed_peers
            ]
        )

    def _complete_calls(self, completed: list[PendingCall]) -> None:
        for pending in completed:
            self.pending_calls.remove(pending)
            self.effects.append(UpstreamCallCompleted(pending.call_id, pending.outcome))

    def _update_peers(self, peers: tuple[InstanceId, ...]) -> None:
        for peer in set(peers) - set(self.peers):
            self._send(peer, AnnouncementTableRequest())
        for peer in set(self.peers) - set(peers):
            self._record_acknowledgement(peer, self.dissemination.change_number)
        self.peers = peers

    def _find_connected_peers(self) -> set[InstanceId]:
        return self.connected_instances.intersection(self.peers)

    def _mark_complete(self, now: Instant) -> None:
        self.is_complete = True
        self.effects += self.feed.mark_complete(now)

    def _check_deadlines(self, now: Instant) -> None:
        self._complete_calls([pending for pending in self.pending_calls if now >= pending.deadline])
        self.effects += self.feed.send_due_page(now)
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
        if self.table.pop_warmed_up(now):
            # Else all upstreams would be cold again in the table that a restart reads.
            self.effects.append(TableChanged(self.dissemination.change_number))
        silent = self.table.mark_silent(now, self.settings.silent_seconds)
        self._publish(silent, now, replicate=False)
        removed = self.table.remove_expired(now, self.settings.forget_seconds)
        self.feed.forget_upstreams(removed)
        self.feed.remove_expired_subscribers(now)
