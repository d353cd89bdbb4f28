"""Uploads through thin links: a window at once, short requests beside it, copies of what waits."""

from hypothesis import given, settings
from hypothesis import strategies as st

from chicorypost.base import FlowKey, Instant
from chicorypost.pacing import LinkPacer, PacingSettings

UPLOAD, OTHER, ORDER = FlowKey(b"upload"), FlowKey(b"other"), FlowKey(b"order")
ADDRESS = ("10.0.0.1", 80)
WINDOW = 16
"""Packets that a client sends at once."""
LINK_BYTES_PER_SECOND = 175_000.0
THIN = PacingSettings(bytes_per_second=LINK_BYTES_PER_SECOND)
NOW = Instant(50.0)


def packet(size=1240):
    return bytes(size)


def send(pacer, flow, sequence, now, content=None):
    content = packet() if content is None else content
    if pacer.admit(content, now):
        return True
    pacer.hold(flow, sequence, content, ADDRESS)
    return False


def drain(pacer, now):
    """Return when each datagram that waits leaves, by a loop that wakes up at the deadlines."""
    left = []
    while (deadline := pacer.next_deadline()) is not None:
        now = Instant(max(now, deadline))
        left += [(now, item) for item in pacer.release(now)]
    return left


def test_a_window_leaves_as_fast_as_the_link_takes_it():
    pacer = LinkPacer(THIN)
    at_once = sum(send(pacer, UPLOAD, number, NOW) for number in range(WINDOW))
    left = drain(pacer, NOW)
    assert at_once + len(left) == WINDOW
    capacity = LINK_BYTES_PER_SECOND * THIN.backlog_seconds
    assert at_once <= capacity // 1240 + 1
    assert [item.sequence for _, item in left] == list(range(at_once, WINDOW))
    for number, (at, _) in enumerate(left):
        sent = (at_once + number + 1) * 1240
        assert sent <= (at - NOW) * LINK_BYTES_PER_SECOND + capacity + 1240


def test_a_window_is_over_before_its_client_repeats_it():
    pacer = LinkPacer(THIN)
    for number in range(WINDOW):
        send(pacer, UPLOAD, number, NOW)
    assert drain(pacer, NOW)[-1][0] - NOW < 0.2


def test_a_link_without_a_known_capacity_is_not_paced():
    pacer = LinkPacer(PacingSettings())
    assert all(send(pacer, UPLOAD, number, NOW) for number in range(1000))


def test_a_fast_link_takes_a_batch_at_once():
    pacer = LinkPacer(PacingSettings(bytes_per_second=43_750_000.0))
    assert all(send(pacer, UPLOAD, number, NOW) for number in range(2 * WINDOW))


def test_a_short_request_passes_a_long_upload():
    pacer = LinkPacer(THIN)
    for number in range(WINDOW):
        send(pacer, UPLOAD, number, NOW)
    assert not send(pacer, ORDER, 0, NOW, packet(900))
    first = drain(pacer, NOW)[0][1]
    assert len(first.content) == 900


def test_two_uploads_share_the_link_in_turn():
    pacer = LinkPacer(THIN)
    for flow in (UPLOAD, OTHER):
        for number in range(WINDOW):
            send(pacer, flow, number, NOW, packet(1240 if flow == UPLOAD else 1239))
    sizes = [len(item.content) for _, item in drain(pacer, NOW)][: 2 * 10]
    assert sizes.count(1240) == sizes.count(1239)


def test_a_copy_takes_the_place_of_what_still_waits():
    pacer = LinkPacer(THIN)
    for number in range(WINDOW):
        send(pacer, UPLOAD, number, NOW)
    waiting = sum(len(queue) for queue in pacer.queues.values())
    copy = b"c" * 1240
    pacer.enqueue(UPLOAD, WINDOW - 1, copy, ADDRESS)
    left = drain(pacer, NOW)
    assert len(left) == waiting
    assert left[-1][1].content == copy


def test_packets_without_data_are_never_taken_for_copies():
    pacer = LinkPacer(THIN)
    for number in range(WINDOW):
        send(pacer, UPLOAD, number, NOW)
    for content in (b"a" * 40, b"f" * 40):
        pacer.enqueue(ORDER, None, content, ADDRESS)
    assert [item.content for _, item in drain(pacer, NOW)][:2].count(b"a" * 40) == 1
    assert pacer.counters["replaced"] == 0


def test_what_waits_is_bounded_and_the_longest_flow_pays():
    pacer = LinkPacer(THIN)
    for number in range(1000):
        send(pacer, UPLOAD, number, NOW)
    assert not send(pacer, ORDER, 0, NOW, packet(900))
    assert pacer.waiting_seconds <= THIN.queue_seconds
    assert pacer.counters["dropped"] > 0
    assert 900 in [len(item.content) for _, item in drain(pacer, NOW)]
    assert pacer.dump()["flows"] == 0


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 30), st.floats(0.0, 0.05)), max_size=99)
)
@settings(max_examples=60, deadline=None, derandomize=True)
def test_no_series_loses_order_or_sends_faster_than_the_link(series):
    pacer = LinkPacer(THIN)
    now, sent = NOW, []
    for flow, sequence, pause in series:
        now = Instant(now + pause)
        sent += [(now, item.content) for item in pacer.dequeue(now)]
        content = packet(400 + sequence)
        if send(pacer, FlowKey(bytes([flow])), sequence, now, content):
            sent.append((now, content))
    sent += [(at, item.content) for at, item in drain(pacer, now)]
    assert len(sent) + pacer.counters["replaced"] + pacer.counters["dropped"] == len(series)
    total = 0
    for at, content in sent:
        total += len(content)
        slack = LINK_BYTES_PER_SECOND * THIN.backlog_seconds + 1240
        assert total <= (at - NOW) * LINK_BYTES_PER_SECOND + slack
    assert not pacer.queues and abs(pacer.waiting_seconds) < 1e-9
