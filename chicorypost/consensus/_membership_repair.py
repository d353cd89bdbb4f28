"""Repair of the membership without an operator: voters that are lost are replaced."""

from typing import Annotated

import msgspec

from chicorypost.base import Bound, InstanceId
from chicorypost.consensus._core import ReplicaCore, ReplicationProgress
from chicorypost.consensus._interface import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from chicorypost.consensus._records import MemberId


class MembershipRepairSettings(msgspec.Struct, frozen=True):
    """When members are added, promoted and removed.

    Parameters
    ----------
    voters : int, default 3
        How many voters there should be: one more than twice the losses to bear.
    replace_seconds : float, default 2.0
        A voter that isn't heard for this long is replaced if a learner can take its place; longer
        than an election, so that a change of leader replaces nobody.
    forget_seconds : float, default 20.0
        A learner that isn't heard for this long is removed.
    greeting_seconds : float, default 3.0
        An instance that hasn't asked to be added for this long isn't added.
    """

    voters: Annotated[int, Bound(ge=1)] = 3
    replace_seconds: Annotated[float, Bound(gt=0)] = 2.0
    forget_seconds: Annotated[float, Bound(gt=0)] = 20.0
    greeting_seconds: Annotated[float, Bound(gt=0)] = 3.0


def plan_repair(core: ReplicaCore, settings: MembershipRepairSettings) -> MembershipChange | None:
    """Return the next change of the membership, or None if there is nothing to repair.

    An instance with an emptied disk takes the place of its former self. A voter that is lost gives
    up its place only to a learner that has all committed entries, so that the number of voters
    that are alive never falls by a repair.
    """
    leadership = core.leadership
    is_settled = leadership is not None and core.log.membership_index <= core.commit_index
    if leadership is None or not is_settled or core.commit_index < leadership.first_index:
        return None
    return (
        _remove_emptied_member(core, settings)
        or _add_waiting_member(core, settings)
        or _promote_learner(core, settings)
        or _remove_lost_voter(core, settings)
        or _remove_lost_learner(core, settings)
    )


def _recently_waiting_members(
    core: ReplicaCore, settings: MembershipRepairSettings
) -> list[MemberId]:
    """Return the instances that ask to be added, but for those that have stopped asking."""
    never = core.now - settings.greeting_seconds - 1.0
    return [
        MemberId(instance, generation)
        for instance, generation in sorted(core.waiting_members.items())
        if core.now - core.waiting_contact.get(instance, never) < settings.greeting_seconds
    ]


def _remove_emptied_member(
    core: ReplicaCore, settings: MembershipRepairSettings
) -> MembershipChange | None:
    members = core.log.membership.members
    for waiting in _recently_waiting_members(core, settings):
        for member in members:
            is_former = member.instance == waiting.instance and member != waiting
            if is_former and _has_quorum_without(core, member):
                return RemoveMember(member.instance, member.generation)
    return None


def _has_quorum_without(core: ReplicaCore, member: MemberId) -> bool:
    """Return whether a quorum of the other voters answers, so that the removal can be committed."""
    others = [voter for voter in core.log.membership.voters if voter != member]
    if not others:
        return False
    alive = sum(voter == core.identity or _is_responsive(core, voter) for voter in others)
    return alive >= len(others) // 2 + 1


def _is_responsive(core: ReplicaCore, member: MemberId) -> bool:
    progress = _progress_of(core, member)
    return (
        progress is not None
        and _seconds_since_contact(core, progress) < core.settings.election_seconds
    )


def _progress_of(core: ReplicaCore, member: MemberId) -> ReplicationProgress | None:
    assert core.leadership is not None
    return core.leadership.progress.get(member.generation)


def _seconds_since_contact(core: ReplicaCore, progress: ReplicationProgress) -> float:
    return core.now - progress.last_contact


def _add_waiting_member(
    core: ReplicaCore, settings: MembershipRepairSettings
) -> MembershipChange | None:
    known: set[InstanceId] = {member.instance for member in core.log.membership.members}
    for waiting in _recently_waiting_members(core, settings):
        if waiting.instance not in known:
            return AddLearner(waiting.instance, waiting.generation)
    return None


def _promote_learner(
    core: ReplicaCore, settings: MembershipRepairSettings
) -> MembershipChange | None:
    if len(core.log.membership.voters) >= settings.voters:
        return None
    learner = _find_ready_learner(core)
    return PromoteLearner(learner.instance, learner.generation) if learner else None


def _find_ready_learner(core: ReplicaCore) -> MemberId | None:
    """Return a learner that answers and has all committed entries."""
    for learner in core.log.membership.learners:
        progress = _progress_of(core, learner)
        is_ready = progress is not None and progress.match_index >= core.commit_index
        if is_ready and _is_responsive(core, learner):
            return learner
    return None


def _remove_lost_voter(
    core: ReplicaCore, settings: MembershipRepairSettings
) -> MembershipChange | None:
    if _find_ready_learner(core) is None:
        return None
    for voter in core.log.membership.voters:
        progress = _progress_of(core, voter)
        is_lost = (
            progress is not None
            and _seconds_since_contact(core, progress) >= settings.replace_seconds
        )
        if is_lost and _has_quorum_without(core, voter):
            return RemoveMember(voter.instance, voter.generation)
    return None


def _remove_lost_learner(
    core: ReplicaCore, settings: MembershipRepairSettings
) -> MembershipChange | None:
    for learner in core.log.membership.learners:
        progress = _progress_of(core, learner)
        if (
            progress is not None
            and _seconds_since_contact(core, progress) >= settings.forget_seconds
        ):
            return RemoveMember(learner.instance, learner.generation)
    return None
