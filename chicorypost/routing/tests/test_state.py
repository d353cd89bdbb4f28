"""The configuration in force, from commands and snapshots of the log."""

import pytest

from chicorypost.base import Version
from chicorypost.routing import RoutingDocument, RoutingState, make_store_command

DOCUMENT = RoutingDocument(Version(3), (), (), 15.0)


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01\x02", b"\x91" * 3000, b"\x92\xc0\xc0"])
def test_bytes_that_are_no_configuration_leave_the_one_in_force(data):
    """An error while a command of the log was applied ended the process at each start."""
    state = RoutingState(lambda original: DOCUMENT)
    assert state.apply(make_store_command(DOCUMENT, b"{}"))
    assert not state.apply(data)
    assert not state.restore(data)
    assert (state.version, state.document) == (3, DOCUMENT)
    assert state.unreadable is not None
