"""Planning of membership changes, one member at a time."""

from chicorypost.base import InstanceId
from chicorypost.consensus._core import Leadership, ReplicaCore
from chicorypost.consensus._interface import (
    AddLearner,
    MembershipChange,
    PromoteLearner,
    ProposalRefusalReason,
    RemoveMember,
)
from chicorypost.consensus._records import ClusterMembership, MemberId

ChangeRefusal = tuple[ProposalRefusalReason, str]


def plan_change(core: ReplicaCore, change: MembershipChange) -> ClusterMembership | ChangeRefusal:
    """Return the membership after a change, or the reason and detail of a refusal.

    Quorums of memberships that differ by one voter always have a voter in common. To rely on that,
    a change requires that the earlier change is committed and that the leader has committed an
    entry of its own term.
    """
    leadership = core.leadership
    assert leadership is not None
    if core.log.membership_index > core.commit_index:
        return (
            ProposalRefusalReason.CHANGE_PENDING,
            "an earlier membership change is not committed yet",
        )
    if core.commit_index < leadership.first_index:
        return (
            ProposalRefusalReason.CHANGE_PENDING,
            "the leader has committed nothing in its term yet",
        )
    match change:
        case AddLearner(instance, generation):
            return _plan_addition(core.log.membership, MemberId(instance, generation))
        case PromoteLearner(instance, generation):
            return _plan_promotion(core, leadership, instance, generation)
        case RemoveMember(instance, generation):
            return _plan_removal(core.log.membership, instance, generation)


def _plan_addition(
    membership: ClusterMembership, member: MemberId
) -> ClusterMembership | ChangeRefusal:
    if not member.generation:
        return ProposalRefusalReason.INVALID_CHANGE, "generation is empty"
    if member in membership.members:
        return (
            ProposalRefusalReason.INVALID_CHANGE,
            f"{member.instance} is a member already",
        )
    return ClusterMembership(membership.voters, (*membership.learners, member))


def _plan_promotion(
    core: ReplicaCore, leadership: Leadership, instance: InstanceId, generation: str | None
) -> ClusterMembership | ChangeRefusal:
    membership = core.log.membership
    learner = _find_member(membership.learners, instance, generation)
    if isinstance(learner, str):
        return ProposalRefusalReason.INVALID_CHANGE, learner
    synced_index = leadership.progress[learner.generation].match_index
    if synced_index < core.commit_index:
        detail = f"{instance} has synced up to {synced_index}, committed is {core.commit_index}"
        return ProposalRefusalReason.NOT_CAUGHT_UP, detail
    learners = tuple(member for member in membership.learners if member != learner)
    return ClusterMembership((*membership.voters, learner), learners)


def _plan_removal(
    membership: ClusterMembership, instance: InstanceId, generation: str | None
) -> ClusterMembership | ChangeRefusal:
    member = _find_member(membership.members, instance, generation)
    if isinstance(member, str):
        return ProposalRefusalReason.INVALID_CHANGE, member
    voters = tuple(voter for voter in membership.voters if voter != member)
    if not voters:
        return ProposalRefusalReason.INVALID_CHANGE, "the last voter can't be removed"
    learners = tuple(learner for learner in membership.learners if learner != member)
    return ClusterMembership(voters, learners)


def _find_member(
    members: tuple[MemberId, ...], instance: InstanceId, generation: str | None
) -> MemberId | str:
    matching = [
        member
        for member in members
        if member.instance == instance and generation in (None, member.generation)
    ]
    if not matching:
        return f"no such member: {instance}"
    if len(matching) > 1:
        generations = ", ".join(member.generation for member in matching)
        return f"{instance} has several generations, name one of: {generations}"
    return matching[0]
