"""Uploads through slow links: full windows, concurrent short requests, copies of packets."""

from hypothesis import given, settings
from hypothesis import strategies as st

from chicorypost.base import FlowKey, Instant
from chicorypost.pacing import LinkPacer, PacingSettings

UPLOAD, OTHER, ORDER = FlowKey(b"upload"), FlowKey(b"other"), FlowKey(b"order")
ADDRESS = ("10.0.0.1", 80)
WINDOW = 16
"""Packets that a client sends without waiting for an acknowledgement."""
LINK_BYTES_PER_SECOND = 175_000.0
SLOW_LINK = PacingSettings(bytes_per_second=LINK_BYTES_PER_SECOND)
NOW = Instant(50.0)


def packet(size=1240):
    return bytes(size)


def send(pacer, flow, sequence, now, content=None):
    content = packet() if content is None else content
    if pacer.admit(content, now):
        return True
    pacer.enqueue(flow, sequence, content, ADDRESS)
    return False


def drain(pacer, now):
    """Return queued datagrams with their send times, from a loop that wakes up at each deadline."""
    departures = []
    while (deadline := pacer.next_deadline()) is not None:
        now = Instant(max(now, deadline))
        departures += [(now, item) for item in pacer.dequeue(now)]
    return departures


def test_a_window_is_sent_at_the_rate_of_the_link():
    pacer = LinkPacer(SLOW_LINK)
    at_once = sum(send(pacer, UPLOAD, number, NOW) for number in range(WINDOW))
    departures = drain(pacer, NOW)
    assert at_once + len(departures) == WINDOW
    capacity = LINK_BYTES_PER_SECOND * SLOW_LINK.backlog_seconds
    assert at_once <= capacity // 1240 + 1
    assert [item.sequence for _, item in departures] == list(range(at_once, WINDOW))
    for number, (at, _) in enumerate(departures):
        sent = (at_once + number + 1) * 1240
        assert sent <= (at - NOW) * LINK_BYTES_PER_SECOND + capacity + 1240


def test_a_window_is_sent_before_its_client_retransmits_it():
    pacer = LinkPacer(SLOW_LINK)
    for number in range(WINDOW):
        send(pacer, UPLOAD, number, NOW)
    assert drain(pacer, NOW)[-1][0] - NOW < 0.2


def test_a_link_without_configured_capacity_is_not_paced():
    pacer = LinkPacer(PacingSettings())
    assert all(send(pacer, UPLOAD, number, NOW) for number in range(1000))


def test_a_batch_is_sent_at_once_on_a_fast_link():
    pacer = LinkPacer(PacingSettings(bytes_per_second=43_750_000.0))
    assert all(send(pacer, UPLOAD, number, NOW) for number in range(2 * WINDOW))


def test_a_short_request_overtakes_a_long_upload():
    pacer = LinkPacer(SLOW_LINK)
    for number in range(WINDOW):
        send(pacer, UPLOAD, number, NOW)
    assert not send(pacer, ORDER, 0, NOW, packet(900))
    first = drain(pacer, NOW)[0][1]
    assert len(first.content) == 900


def test_two_uploads_share_the_link_equally():
    pacer = LinkPacer(SLOW_LINK)
    for flow in (UPLOAD, OTHER):
        for number in range(WINDOW):
            send(pacer, flow, number, NOW, packet(1240 if flow == UPLOAD else 1239))
    sizes = [len(item.content) for _, item in drain(pacer, NOW)][: 2 * 10]
    assert sizes.count(1240) == sizes.count(1239)


def test_a_copy_replaces_a_queued_packet():
    pacer = LinkPacer(SLOW_LINK)
    for number in range(WINDOW):
        send(pacer, UPLOAD, number, NOW)
    waiting = sum(len(queue) for queue in pacer.queues.values())
    copy = b"c" * 1240
    pacer.enqueue(UPLOAD, WINDOW - 1, copy, ADDRESS)
    departures = drain(pacer, NOW)
    assert len(departures) == waiting
    assert departures[-1][1].content == copy


def test_packets_without_data_never_replace_each_other():
    pacer = LinkPacer(SLOW_LINK)
    for number in range(WINDOW):
        send(pacer, UPLOAD, number, NOW)
    for content in (b"a" * 40, b"f" * 40):
        pacer.enqueue(ORDER, None, content, ADDRESS)
    assert [item.content for _, item in drain(pacer, NOW)][:2].count(b"a" * 40) == 1
    assert pacer.counters["replaced"] == 0


def test_the_queue_is_bounded_and_drops_from_the_longest_flow():
    pacer = LinkPacer(SLOW_LINK)
    for number in range(1000):
        send(pacer, UPLOAD, number, NOW)
    assert not send(pacer, ORDER, 0, NOW, packet(900))
    assert pacer.waiting_seconds <= SLOW_LINK.queue_seconds
    assert pacer.counters["dropped"] > 0
    assert 900 in [len(item.content) for _, item in drain(pacer, NOW)]
    assert pacer.dump()["flows"] == 0


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 30), st.floats(0.0, 0.05)), max_size=99)
)
@settings(max_examples=60, deadline=None, derandomize=True)
def test_no_sequence_loses_datagrams_or_exceeds_the_rate_of_the_link(arrivals):
    pacer = LinkPacer(SLOW_LINK)
    now, sent = NOW, []
    for flow, sequence, pause in arrivals:
        now = Instant(now + pause)
        sent += [(now, item.content) for item in pacer.dequeue(now)]
        content = packet(400 + sequence)
        if send(pacer, FlowKey(bytes([flow])), sequence, now, content):
            sent.append((now, content))
    sent += [(at, item.content) for at, item in drain(pacer, now)]
    assert len(sent) + pacer.counters["replaced"] + pacer.counters["dropped"] == len(arrivals)
    total = 0
    for at, content in sent:
        total += len(content)
        slack = LINK_BYTES_PER_SECOND * SLOW_LINK.backlog_seconds + 1240
        assert total <= (at - NOW) * LINK_BYTES_PER_SECOND + slack
    assert not pacer.queues and abs(pacer.waiting_seconds) < 1e-9
