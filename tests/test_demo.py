"""What the demo says about its own run."""

from benchmarks.demo import describe_pause


def test_a_suspended_machine_is_told_from_a_slow_run():
    """A demo seemed stuck once; its own time limit doesn't run while the machine is suspended."""
    assert describe_pause(13.0, 12.9) == ""
    assert "86.9 s" in describe_pause(100.0, 13.1)
