"""The stand-ins of the soak behave as the two ends of a flow do."""

from benchmarks.standins.platform_upstream import UpstreamFlow


def test_upstream_takes_only_acknowledgements_of_its_own_bytes():
    """A second upstream that had answered a copy of the opening ran a request once more."""
    flow = UpstreamFlow(first_sequence=500, next_sequence=501)
    assert flow.is_own_acknowledgement(501)
    assert not flow.is_own_acknowledgement(500)
    assert not flow.is_own_acknowledgement(90_000)
    flow.next_sequence = 600
    assert flow.is_own_acknowledgement(600) and not flow.is_own_acknowledgement(601)
