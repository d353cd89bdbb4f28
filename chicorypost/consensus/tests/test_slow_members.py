"""What a leader sends to a member that doesn't answer, such as one that is frozen or cut off."""

from chicorypost.base import Instant, encode
from chicorypost.consensus.tests.fakes import Cluster

DOCUMENT_BYTES = 12_000
"""Size of a configuration of fifty routes, which each change sends whole."""
CHANGES = 40
SILENT_SECONDS = 10.0
CONTROL_BYTES_PER_SECOND = 16_000
"""What control may send for a node, by the size that the product is designed for."""


def test_entries_are_not_sent_again_and_again_to_a_member_that_is_frozen():
    """Pattern: many changes while a member is frozen; what is sent to it waits in a queue.

    A leader that repeats what the member lacks with each heartbeat fills that queue.
    """
    cluster = Cluster(3)
    leader = cluster.wait_for_leader()
    frozen = next(node for node in cluster.nodes.values() if node is not leader)
    frozen.is_paused = True
    for number in range(CHANGES):
        cluster.propose(leader, f"p{number}", bytes(DOCUMENT_BYTES))
        cluster.deliver_all()
    sent_before = len(frozen.inbox)
    cluster.run(SILENT_SECONDS)
    sent_bytes = sum(len(encode(event.message)) for event in frozen.inbox[sent_before:])
    allowed = CHANGES * DOCUMENT_BYTES + SILENT_SECONDS * CONTROL_BYTES_PER_SECOND
    assert sent_bytes <= allowed


def test_a_snapshot_is_not_sent_again_and_again_to_a_member_that_is_frozen():
    """Pattern: a member is frozen while it receives a snapshot.

    A leader that repeats the chunk with each heartbeat fills the member's queue.
    """
    cluster = Cluster(3, snapshot_interval_records=5, trailing_records=1)
    leader = cluster.wait_for_leader()
    frozen = next(node for node in cluster.nodes.values() if node is not leader)
    cluster.kill(frozen)
    for number in range(CHANGES):
        cluster.propose(leader, f"p{number}", bytes(DOCUMENT_BYTES))
        cluster.deliver_all()
    cluster.run(1.0)
    cluster.start(frozen)
    frozen.is_paused = True
    cluster.run(SILENT_SECONDS)
    sent_bytes = sum(len(encode(event.message)) for event in frozen.inbox)
    allowed = CHANGES * DOCUMENT_BYTES + SILENT_SECONDS * CONTROL_BYTES_PER_SECOND
    assert sent_bytes <= allowed


def test_entries_that_were_lost_are_sent_again_after_the_next_reply():
    """Pattern: a connection breaks with entries in flight, and the next request gets through."""
    cluster = Cluster(3)
    leader = cluster.wait_for_leader()
    cluster.run(1.0)
    cut = next(node for node in cluster.nodes.values() if node is not leader)
    cluster.propose(leader, "lost")
    cluster.in_flight = [item for item in cluster.in_flight if item[1] != cut.instance]
    cluster.run(2 * cluster.settings.heartbeat_seconds)
    assert cut.replica.core.log.last_index == leader.replica.core.log.last_index


def test_a_member_that_replies_later_than_the_next_heartbeat_receives_all_entries():
    """Pattern: members with slow disks or far away; each reply comes after the next heartbeat.

    If the awaited request was always the latest heartbeat, no reply would ever allow more entries.
    """
    cluster = Cluster(3)
    leader = cluster.wait_for_leader()
    cluster.run(1.0)
    slow = [node for node in cluster.nodes.values() if node is not leader]
    steps_per_reply = round(1.5 * cluster.settings.heartbeat_seconds / 0.05)
    delayed: list[tuple[int, object]] = []
    for step in range(300):
        if step < 20:
            cluster.propose(leader, f"p{step}")
        cluster.now = Instant(cluster.now + 0.05)
        cluster.tick_if_due(leader)
        for item in [item for item in cluster.in_flight if item[0] != leader.instance]:
            cluster.in_flight.remove(item)
            delayed.append((step + steps_per_reply, item))
        while delayed and delayed[0][0] <= step:
            cluster.in_flight.append(delayed.pop(0)[1])
        cluster.deliver_all(limit=len(cluster.in_flight))
    last_index = leader.replica.core.log.last_index
    assert [node.replica.core.log.last_index for node in slow] == [last_index] * 2
    assert leader.replica.commit_index == last_index
