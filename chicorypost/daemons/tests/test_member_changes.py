"""Answers to changes of the members of the log, also after an answer was lost."""

import json
from types import SimpleNamespace

import pytest
import trio

from chicorypost.base import InstanceId
from chicorypost.consensus import (
    ClusterMembership,
    MemberId,
    ProposalRefusalReason,
    ProposalRefused,
)
from chicorypost.daemons._control_api import OperatorEndpoint
from chicorypost.daemons._control_log import LogWaiter
from chicorypost.transport import HttpServerRequest

MEMBERSHIP = ClusterMembership(
    (MemberId(InstanceId("control-1"), "g1"),), (MemberId(InstanceId("control-2"), "g2"),)
)


def change_members(reason, **change):
    """Send a change that the log refuses for a reason, or doesn't answer; return the response."""

    async def post_and_wait(request_id, event, seconds):
        reply = ProposalRefused(request_id, reason, None, "as planned") if reason else None
        return LogWaiter(trio.Event(), reply)

    log = SimpleNamespace(post_and_wait=post_and_wait)
    replica = SimpleNamespace(membership=MEMBERSHIP)
    endpoint = OperatorEndpoint(log, replica, None, dict, 1.0)  # type: ignore[arg-type]
    request = HttpServerRequest("POST", "/v1/members", (), json.dumps(change).encode())
    return trio.run(endpoint.handle, request)


@pytest.mark.parametrize(
    "change",
    [
        {"instance": 7, "generation": "g3"},
        {"instance": {"a": 1}, "generation": "g3"},
        {"instance": "", "generation": "g3"},
        {"instance": "c" * 201, "generation": "g3"},
        {"instance": "control-3", "generation": 7},
        {"instance": "control-3", "generation": ["g3"]},
    ],
)
def test_a_change_with_an_id_that_is_no_name_is_refused(change):
    """The members would refuse each message with such an entry, and the log would stop."""
    assert change_members(None, action="add", **change).status == 400


@pytest.mark.parametrize("body", [b"[" * 100_000, b'{"a":' * 100_000])
def test_a_deeply_nested_change_is_refused(body):
    endpoint = OperatorEndpoint(None, None, None, dict, 1.0)  # type: ignore[arg-type]
    request = HttpServerRequest("POST", "/v1/members", (), body)
    assert trio.run(endpoint.handle, request).status == 400


@pytest.mark.parametrize("reason", [None, ProposalRefusalReason.LEADERSHIP_LOST])
def test_a_change_that_may_still_be_made_is_not_called_refused(reason):
    """Report: after an answer was lost, the caller was told that the change wasn't made."""
    response = change_members(reason, action="add", instance="control-3", generation="g3")
    assert response.status == 504
    body = json.loads(response.body)
    assert body["type"].endswith("outcome-unknown") and "patch" not in body["title"]


@pytest.mark.parametrize(
    ("action", "instance", "generation", "status"),
    [
        ("add", "control-2", "g2", 200),
        ("add", "control-1", "g1", 200),
        ("promote", "control-1", "g1", 200),
        ("promote", "control-2", "g2", 409),
        ("promote", "control-1", "g9", 409),
        ("remove", "control-9", "g9", 409),
    ],
)
def test_a_change_that_was_made_is_acknowledged_again(action, instance, generation, status):
    """The first answer was lost; the log refuses the same change when it is sent again."""
    reason = ProposalRefusalReason.INVALID_CHANGE
    change = {"action": action, "instance": instance, "generation": generation}
    assert change_members(reason, **change).status == status
