"""Entries of a table whose types are right and whose values no upstream can have."""

import msgspec
import pytest

from chicorypost.announcements import (
    AnnouncementRegistry,
    AnnouncementTableReply,
    DirectoryView,
    FeedPage,
    ListedUpstream,
    TableRestored,
)
from chicorypost.announcements._messages import ReplicateChanges
from chicorypost.announcements.tests.network import SETTINGS
from chicorypost.announcements.tests.test_table import ARCHIVE, ORDERS, announce
from chicorypost.base import Endpoint, InstanceId, Instant, Received, Version
from chicorypost.events import Emit

PEER = InstanceId("10.0.0.2:80")
SOUND = ListedUpstream(announce(ARCHIVE, host="10.0.0.2"), False, 0)


def odd_call(**fields):
    return ListedUpstream(msgspec.structs.replace(announce(), **fields), False, 0)


ODD_ENTRIES = {
    "port out of range": odd_call(endpoint=Endpoint("10.0.0.1", 99_999)),
    "port 0": odd_call(endpoint=Endpoint("10.0.0.1", 0)),
    "negative port": odd_call(endpoint=Endpoint("10.0.0.1", -1)),
    "name for a host": odd_call(endpoint=Endpoint("example", 80)),
    "host with a zero byte": odd_call(endpoint=Endpoint("10.0.0.1\0", 80)),
    "token too large": odd_call(token=2**64),
    "token of any upstream": odd_call(token=0),
    "no slots": odd_call(slots=0),
    "negative start": odd_call(started_at_ms=-1),
    "negative number": odd_call(sequence=-1),
    "negative warm-up": odd_call(warmup_ms=-1),
    "contact in the future": ListedUpstream(announce(), False, -1),
}
ODD = pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)


def ignored_events(effects):
    return [
        effect.fields["upstream"]
        for effect in effects
        if isinstance(effect, Emit) and effect.spec.name == "upstream-entry-ignored"
    ]


@ODD
@pytest.mark.parametrize("kind", ["reply", "changes", "disk"])
def test_an_odd_entry_of_a_peer_or_of_the_disk_is_ignored_and_the_others_hold(odd, kind):
    registry = AnnouncementRegistry(SETTINGS, 1, Instant(0.0))
    listed = (odd, SOUND)
    event = {
        "reply": Received(PEER, AnnouncementTableReply(True, listed)),
        "changes": Received(PEER, ReplicateChanges(1, listed)),
        "disk": TableRestored(listed),
    }[kind]
    effects = registry.handle(event, Instant(1.0))
    assert list(registry.table.entries) == [ARCHIVE]
    assert ignored_events(effects) == [ORDERS]


@ODD
def test_an_odd_entry_of_a_feed_is_ignored_and_the_others_hold(odd):
    """A packet to a port out of range can't be sent, so each opening there was lost."""
    view = DirectoryView(SETTINGS, (PEER,), Instant(0.0))
    page = FeedPage(1, 1, True, True, (odd, SOUND), (PEER,), Version(0))
    effects = view.handle(Received(PEER, page), Instant(1.0))
    assert list(view.upstreams) == [ARCHIVE]
    assert ignored_events(effects) == [ORDERS]
