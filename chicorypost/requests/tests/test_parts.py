"""Tests of classification, keys, placement, outcomes and deadlines."""

import json
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import ValidationError

from chicorypost.base import DataCentreId, Epoch, Instant, RequestKey, View, WallTime
from chicorypost.configuration import IdempotentRule
from chicorypost.requests import (
    Outcome,
    Reason,
    RequestClass,
    RequestResult,
    RequestSettings,
    classify,
    make_key,
    normalize_key,
    to_response,
)
from chicorypost.requests._deadlines import DeadlineQueue
from chicorypost.requests._key import home_data_centre_of, parse_key
from chicorypost.requests._placement import PartitionPlacement, member_key
from chicorypost.requests.tests._simulation import DATA_CENTRE, SPEC, make_member
from chicorypost.upstreams import HttpResponse

RULES = SPEC.model_copy(
    update={
        "idempotent": (
            IdempotentRule(method="GET", path_prefix="/scans"),
            IdempotentRule(method="PUT", path_prefix="/art/"),
        )
    }
)


@pytest.mark.parametrize(
    ("method", "target", "is_idempotent"),
    [
        ("GET", "/scans", True),
        ("GET", "/scans/7?x=/../", True),
        ("PUT", "/art/7", True),
        ("get", "/scans", False),
        ("POST", "/scans", False),
        ("GET", "/scans-of-orders", False),
        ("GET", "/scans/../orders", False),
        ("GET", "/scans/./x", False),
        ("GET", "/scans/%2e%2e/orders", False),
        ("GET", "/scans//orders", False),
        ("GET", "/scans\\..\\orders", False),
        ("GET", "http://host/scans", False),
        ("PUT", "/art", False),
    ],
)
def test_only_requests_that_match_a_rule_unambiguously_are_idempotent(
    method, target, is_idempotent
):
    expected = RequestClass.IDEMPOTENT if is_idempotent else RequestClass.NON_IDEMPOTENT
    assert classify(RULES, method, target) is expected


@given(st.integers(0, 2**40), st.integers(0, 2**32))
def test_a_new_key_encodes_its_data_centre_and_time(milliseconds, seed):
    key = make_key(DataCentreId("gent.2"), WallTime(milliseconds / 1000), Random(seed))
    parsed = parse_key(key)
    assert parsed.data_centre == "gent.2"
    assert parsed.created_at is not None and abs(parsed.created_at - milliseconds / 1000) < 0.002
    assert normalize_key(f'"{key}"') == key


@pytest.mark.parametrize("text", ["", '""', "x" * 201, "a\nb", "é"])
def test_keys_that_headers_cannot_carry_are_refused(text):
    assert normalize_key(text) is None


def test_a_key_is_at_home_in_its_prefix_else_by_hash():
    centres = [DataCentreId("gent1"), DataCentreId("aalst")]
    key = make_key(DataCentreId("elsewhere"), WallTime(1e9), Random(1))
    assert home_data_centre_of(key, centres) == "elsewhere"
    homes = {home_data_centre_of(RequestKey(f"order-{n}"), centres) for n in range(50)}
    assert homes == set(centres)


@given(st.sets(st.sampled_from("abcdefgh"), min_size=2), st.randoms(use_true_random=False))
def test_the_backup_succeeds_an_owner_that_leaves(names, random):
    members = [make_member(name, 1) for name in sorted(names)]
    full_placement = PartitionPlacement(View(DATA_CENTRE, Epoch(1), tuple(members)))
    removed = random.choice(members)
    reduced_placement = PartitionPlacement(
        View(DATA_CENTRE, Epoch(2), tuple(m for m in members if m is not removed))
    )
    for partition in range(len(full_placement.ranks)):
        if full_placement.owner(partition) == member_key(removed):
            assert reduced_placement.owner(partition) == full_placement.backup(partition)
        else:
            assert reduced_placement.owner(partition) == full_placement.owner(partition)


@pytest.mark.parametrize(
    ("result", "status"),
    [
        (RequestResult(Outcome.DONE, Reason.ANSWERED, HttpResponse(201, (("X", "1"),), b"b")), 201),
        (RequestResult(Outcome.DONE, Reason.ANSWER_NOT_KEPT), 410),
        (RequestResult(Outcome.NOT_RUN, Reason.DEADLINE), 409),
        (RequestResult(Outcome.OUTCOME_UNKNOWN, Reason.ANSWER_LOST, None, 1500), 504),
        (RequestResult(Outcome.TRY_AGAIN, Reason.OVERLOADED, None, 200), 503),
        (RequestResult(Outcome.REJECTED, Reason.KEY_MISSING), 400),
        (RequestResult(Outcome.REJECTED, Reason.KEY_REUSED), 422),
    ],
)
def test_each_outcome_has_its_status_type_and_headers(result, status):
    response = to_response(result)
    headers = dict(response.headers)
    assert response.status == status
    assert headers["Chicorypost-Outcome"] == result.outcome.value
    if result.response is None:
        problem = json.loads(response.body)
        assert problem["type"] == f"urn:chicorypost:outcome:{result.outcome.value}"
        assert problem["reason"] == result.reason.value
    has_retry_after = result.outcome in (Outcome.OUTCOME_UNKNOWN, Outcome.TRY_AGAIN)
    assert ("Retry-After" in headers) is has_retry_after


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 9)), max_size=40))
def test_the_deadline_queue_agrees_with_a_plain_dictionary(commands):
    deadlines: DeadlineQueue[int] = DeadlineQueue()
    plain: dict[int, float] = {}
    for key, at in commands:
        if at == 0:
            deadlines.clear_deadline(key)
            plain.pop(key, None)
        elif at == 9:
            due = deadlines.pop_due(Instant(4.0))
            assert sorted(due) == sorted(k for k, v in plain.items() if v <= 4.0)
            plain = {k: v for k, v in plain.items() if v > 4.0}
        else:
            deadlines.set_deadline(key, Instant(float(at)))
            plain[key] = float(at)
        assert deadlines.earliest() == min(plain.values(), default=None)


def test_a_part_of_a_copy_always_fits_into_one_message():
    RequestSettings()
    with pytest.raises(ValidationError, match="too large"):
        RequestSettings(copy_records=256)
