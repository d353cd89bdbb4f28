"""What a leader sends to a member that doesn't answer, such as one that is frozen or cut off."""

from chicorypost.base import encode
from chicorypost.consensus.tests.fakes import Cluster

DOCUMENT_BYTES = 12_000
"""Size of a configuration of fifty routes, which each change sends whole."""
CHANGES = 40
SILENT_SECONDS = 10.0
CONTROL_BYTES_PER_SECOND = 16_000
"""What control may send for a node, by the size that the product is designed for."""


def test_entries_are_not_sent_again_and_again_to_a_member_that_is_frozen():
    """Pattern: many changes while a member is frozen; what is sent to it waits in a queue.

    The leader repeats what the member lacks with each heartbeat.
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
