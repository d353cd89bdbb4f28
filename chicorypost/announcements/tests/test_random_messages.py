"""Messages of the feed in any order and with any content, as other builds or faults might send."""

from hypothesis import given
from hypothesis import strategies as st

from chicorypost.announcements import (
    AnnouncedStatus,
    AnnouncementRegistry,
    DirectoryView,
    FeedPage,
    JudgedState,
    Judgement,
    ListedUpstream,
    PeerConnected,
    PeerDisconnected,
    Subscribe,
    VersionApplied,
)
from chicorypost.announcements._messages import DocumentChanged, DocumentReply, DocumentRequest
from chicorypost.announcements.tests.network import SETTINGS
from chicorypost.announcements.tests.test_table import announce
from chicorypost.base import InstanceId, Instant, Received, Send, Tick, UpstreamId, Version
from chicorypost.evacuation import Evacuations
from chicorypost.routing import RoutingChange
from chicorypost.routing.tests.test_change import SERVICES, make_document

PEERS = [InstanceId("c1"), InstanceId("c2")]
BALANCERS = [InstanceId("b1"), InstanceId("b2")]

numbers = st.sampled_from([-(2**63), -1, 0, 1, 2, 3, 2**62])
versions = numbers.map(Version)
flags = st.sampled_from([None, False, True])
listed = st.lists(
    st.builds(
        ListedUpstream,
        st.builds(
            announce,
            st.sampled_from([UpstreamId("i-1"), UpstreamId("i-2")]),
            started_at_ms=numbers,
            sequence=numbers,
            status=st.sampled_from(AnnouncedStatus),
        ),
        st.booleans(),
        numbers,
        st.none() | st.builds(Judgement, st.sampled_from(JudgedState), numbers),
    ),
    max_size=3,
).map(tuple)
documents = st.builds(
    make_document,
    versions,
    st.dictionaries(st.integers(1, 3), st.integers(-1, 3)),
    st.dictionaries(st.sampled_from(SERVICES), st.integers(0, 2)),
)
changes = st.builds(
    lambda base, document, digest: RoutingChange(
        base, document.version, document.routes, (), document.services, (), 15.0, digest
    ),
    versions,
    documents,
    numbers,
)
pages = st.builds(
    FeedPage,
    numbers,
    numbers,
    st.booleans(),
    st.booleans(),
    listed,
    st.lists(st.sampled_from(PEERS)).map(tuple),
    versions,
    st.none() | numbers,
    st.none() | st.builds(Evacuations, numbers, st.lists(st.text(max_size=2)).map(tuple)),
)
to_balancers = st.one_of(
    pages, st.builds(DocumentReply, documents), st.builds(DocumentChanged, changes)
)
to_controls = st.one_of(
    st.builds(Subscribe, numbers, numbers, flags), st.builds(DocumentRequest, versions)
)


def received(senders, messages):
    return st.builds(Received, st.sampled_from(senders), messages)


@given(
    st.lists(
        st.one_of(
            received(PEERS, to_balancers),
            st.builds(PeerConnected, st.sampled_from(PEERS)),
            st.builds(PeerDisconnected, st.sampled_from(PEERS)),
            st.just(Tick()),
        ),
        max_size=30,
    )
)
def test_a_balancer_takes_any_messages_and_its_version_never_decreases(events):
    view = DirectoryView(SETTINGS, tuple(PEERS), Instant(0.0))
    version = view.version
    for number, event in enumerate(events):
        view.handle(event, Instant(0.2 * number))
        assert view.version >= version
        version = view.version


@given(
    st.lists(
        st.one_of(received(BALANCERS, to_controls), st.builds(VersionApplied, documents)),
        max_size=30,
    )
)
def test_a_control_instance_takes_any_requests_and_answers_only_the_sender(events):
    registry = AnnouncementRegistry(SETTINGS, 7, Instant(0.0))
    for number, event in enumerate(events):
        effects = registry.handle(event, Instant(0.2 * number))
        if isinstance(event, Received):
            receivers = {effect.to for effect in effects if isinstance(effect, Send)}
            assert receivers <= {event.sender}
