"""Tests of the replicated state: versions, resends, history and releases."""

import json

import pytest
import uuid6

from chicorypost.base import DataCentreId, Epoch, PatchId, Version, encode
from chicorypost.configuration import (
    AdmitDataCentre,
    ClearReleases,
    ConfigurationState,
    ForgetDataCentre,
    PatchAccepted,
    PatchFormat,
    PatchRefusalReason,
    PatchRefused,
    SubmitPatch,
)
from chicorypost.configuration._outcome_registry import PatchOutcomeRegistry

GENT = DataCentreId("gent")
DAY_MS = 86_400_000
NOW_MS = 1_800_000_000_000


def make_patch_id(at_ms, number=0):
    value = (at_ms << 80) | (7 << 76) | (2 << 62) | number
    return PatchId(str(uuid6.UUID(int=value)))


def make_submit_patch(expected, body, at_ms=NOW_MS, number=0, author="ann", id_at_ms=None):
    identity = make_patch_id(at_ms if id_at_ms is None else id_at_ms, number)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    kind = PatchFormat.MERGE_PATCH
    return SubmitPatch(identity, Version(expected), kind, data, author, at_ms)


def make_services(**addresses):
    return {
        "services": {
            name: {"addresses": list(values), "selector": {"service": name}}
            for name, values in addresses.items()
        }
    }


def apply_command(state, command):
    return state.apply(encode(command))


def test_of_two_operators_on_one_version_the_second_is_told_the_current_version():
    state = ConfigurationState()
    first = apply_command(
        state, make_submit_patch(0, make_services(a=["10.0.0.1:1/tcp"]), number=1)
    )
    second = apply_command(
        state, make_submit_patch(0, make_services(b=["10.0.0.2:1/tcp"]), number=2)
    )
    assert first == PatchAccepted(Version(1), ())
    assert second == PatchRefused(PatchRefusalReason.STALE_VERSION, Version(1))
    assert list(state.desired["services"]) == ["a"]


def test_a_bad_patch_takes_no_version_number():
    state = ConfigurationState()
    refused = apply_command(state, make_submit_patch(0, make_services(a=["nonsense"])))
    assert refused.reason is PatchRefusalReason.INVALID
    assert refused.mistakes[0].path == "/services/a/addresses/0"
    assert (state.version, state.history) == (0, [])


@pytest.mark.parametrize("through_snapshot", [False, True])
def test_a_resend_gets_the_first_answer_also_after_a_snapshot(through_snapshot):
    state = ConfigurationState()
    command = make_submit_patch(0, make_services(a=["10.0.0.1:1/tcp"]), number=1)
    first = apply_command(state, command)
    apply_command(state, make_submit_patch(1, make_services(b=["10.0.0.2:1/tcp"]), number=2))
    if through_snapshot:
        data, state = state.take_snapshot(), ConfigurationState()
        state.restore_snapshot(data)
    later = SubmitPatch(*_with_time(command, NOW_MS + DAY_MS - 1))
    assert state.check_patch(later) == first
    assert apply_command(state, later) == first
    assert state.version == 2


def test_a_patch_id_with_another_body_is_refused():
    state = ConfigurationState()
    apply_command(state, make_submit_patch(0, make_services(a=["10.0.0.1:1/tcp"])))
    other = apply_command(state, make_submit_patch(1, make_services(b=["10.0.0.2:1/tcp"])))
    assert other == PatchRefused(PatchRefusalReason.PATCH_ID_REUSED, Version(1))


def test_a_patch_id_too_old_to_be_remembered_is_expired_and_never_applied_again():
    state = ConfigurationState()
    command = make_submit_patch(0, make_services(a=["10.0.0.1:1/tcp"]))
    apply_command(state, command)
    undo = apply_command(
        state, make_submit_patch(1, {"services": {"a": None}}, at_ms=NOW_MS + 2 * DAY_MS)
    )
    again = apply_command(state, SubmitPatch(*_with_time(command, NOW_MS)))
    assert isinstance(undo, PatchAccepted)
    assert again == PatchRefused(PatchRefusalReason.EXPIRED, Version(2))
    assert state.outcome_registry.recorded_outcomes.keys() == {make_patch_id(NOW_MS + 2 * DAY_MS)}


def test_a_full_ledger_expires_old_ids_in_place_of_forgetting_them():
    state = ConfigurationState()
    state.outcome_registry = PatchOutcomeRegistry(capacity=10)
    commands = [make_submit_patch(n, {}, at_ms=NOW_MS + n) for n in range(30)]
    for command in commands:
        assert isinstance(apply_command(state, command), PatchAccepted)
    outcomes = [apply_command(state, command) for command in commands]
    assert [type(outcome) for outcome in outcomes] == [PatchRefused] * 20 + [PatchAccepted] * 10
    assert {outcome.reason for outcome in outcomes[:20]} == {PatchRefusalReason.EXPIRED}
    assert state.version == 30


@pytest.mark.parametrize("bad", ["", "x", "c232ab00-9414-11ec-b3c8-9f6bdeced846"])
def test_a_patch_id_without_a_creation_time_is_refused(bad):
    state = ConfigurationState()
    command = make_submit_patch(0, {})
    outcome = apply_command(
        state, SubmitPatch(PatchId(bad), *list(_with_time(command, NOW_MS))[1:])
    )
    assert outcome == PatchRefused(PatchRefusalReason.PATCH_ID_INVALID, Version(0))


def test_a_patch_id_from_the_future_is_refused():
    outcome = apply_command(
        ConfigurationState(), make_submit_patch(0, {}, id_at_ms=NOW_MS + 61_000)
    )
    assert outcome == PatchRefused(PatchRefusalReason.PATCH_ID_INVALID, Version(0))


def test_history_says_who_when_what_and_from_which_version():
    state = ConfigurationState()
    apply_command(state, make_submit_patch(0, make_services(a=["10.0.0.1:1/tcp"]), number=1))
    apply_command(
        state,
        make_submit_patch(1, {"services": {"a": {"retry_budget": 0}}}, number=2, author="bob"),
    )
    last = state.history[-1]
    assert (last.author, last.at_ms, last.version, last.from_version) == ("bob", NOW_MS, 2, 1)
    assert last.paths == ("/services/a/retry_budget",)


def test_an_address_that_changes_its_service_is_withheld_until_its_release_is_confirmed():
    state = ConfigurationState()
    address = "10.0.0.1:1/tcp"
    apply_command(
        state, make_submit_patch(0, make_services(archive=[address], ordering=[]), number=1)
    )
    move = apply_command(
        state, make_submit_patch(1, make_services(archive=[], ordering=[address]), number=2)
    )
    assert [hold.value for hold in move.withheld] == [address]
    assert state.desired["services"]["ordering"]["addresses"] == [address]
    assert state.effective["services"]["ordering"]["addresses"] == []
    assert state.effective["services"]["archive"]["addresses"] == []
    assert apply_command(state, ClearReleases(Version(1), NOW_MS)).version is None
    assert apply_command(state, ClearReleases(Version(2), NOW_MS)).version == 3
    assert state.effective["services"]["ordering"]["addresses"] == [address]
    assert state.withheld == ()


def test_a_removed_address_stays_withheld_when_a_later_patch_assigns_it():
    state = ConfigurationState()
    address = "10.0.0.1:1/tcp"
    apply_command(state, make_submit_patch(0, make_services(archive=[address]), number=1))
    apply_command(state, make_submit_patch(1, {"services": {"archive": None}}, number=2))
    given = apply_command(state, make_submit_patch(2, make_services(ordering=[address]), number=3))
    assert given.withheld[0].released_in == 2
    assert state.effective["services"]["ordering"]["addresses"] == []
    back = apply_command(
        state, make_submit_patch(3, make_services(archive=[address], ordering=[]), number=4)
    )
    assert back.withheld == ()
    assert state.effective["services"]["archive"]["addresses"] == [address]


def test_a_restored_snapshot_equals_the_state():
    state = ConfigurationState()
    apply_command(state, make_submit_patch(0, make_services(a=["10.0.0.1:1/tcp"]), number=1))
    apply_command(state, make_submit_patch(1, make_services(a=[], b=["10.0.0.1:1/tcp"]), number=2))
    apply_command(state, AdmitDataCentre(GENT, Epoch(4), "token"))
    apply_command(state, AdmitDataCentre(GENT, Epoch(3), "token"))
    restored = ConfigurationState()
    restored.restore_snapshot(state.take_snapshot())
    assert restored.dump() == state.dump()
    assert restored.effective == state.effective
    assert restored.take_snapshot() == state.take_snapshot()
    assert restored.data_centres == {GENT: 4}
    assert apply_command(restored, ForgetDataCentre(GENT, "ann", NOW_MS)).known


def _with_time(command, at_ms):
    fields = [getattr(command, name) for name in command.__struct_fields__]
    return [*fields[:-1], at_ms]
