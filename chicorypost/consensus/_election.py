"""Election: pre-vote, votes and the move to leadership."""

from chicorypost.base import InstanceId, Term
from chicorypost.consensus._core import Candidacy, ReplicaCore, replace_term_and_vote
from chicorypost.consensus._interface import ReplicaRole
from chicorypost.consensus._messages import VoteReply, VoteRequest
from chicorypost.consensus._replication import become_leader


def start_pre_vote(core: ReplicaCore) -> None:
    """Ask whether an election could be won; terms stay as they are."""
    core.restart_election_timer()
    core.candidacy = Candidacy({core.identity.generation})
    core.set_role(ReplicaRole.PRE_CANDIDATE, None)
    _request_votes(core, pre_vote=True)
    _count_votes(core)


def _start_election(core: ReplicaCore) -> None:
    """Stand for the next term; the own vote is synced before anybody hears of it."""
    core.restart_election_timer()
    term = Term(core.term + 1)
    core.update_hard_state(replace_term_and_vote(core.hard_state, term, core.identity.generation))
    core.candidacy = Candidacy(set(), core.write_queue.covering_write_number)
    core.set_role(ReplicaRole.CANDIDATE, None)
    _request_votes(core, pre_vote=False)


def _request_votes(core: ReplicaCore, pre_vote: bool) -> None:
    for voter in core.log.membership.voters:
        if voter == core.identity:
            continue
        header = core.make_header(voter.generation)
        request = VoteRequest(*header, pre_vote, core.log.last_index, core.log.last_term)
        core.send_when_synced(voter.instance, request)


def handle_vote_request(core: ReplicaCore, sender: InstanceId, message: VoteRequest) -> None:
    """Grant or refuse a vote.

    A replica that hears a leader ignores candidates, so that one behind a broken link can't
    depose a leader that works.
    """
    requested = Term(message.term + 1) if message.pre_vote else message.term
    hears_leader = core.leadership is not None or (
        core.leader is not None and core.now < core.leader_contact_deadline
    )
    if hears_leader and message.term >= core.term:
        return
    if requested > core.term and not message.pre_vote:
        core.step_down(requested)
    log_is_current = (message.last_term, message.last_index) >= (
        core.log.last_term,
        core.log.last_index,
    )
    if message.pre_vote:
        granted = requested > core.term and log_is_current
    else:
        granted = (
            requested == core.term
            and log_is_current
            and _is_vote_available(core, message.source_generation)
        )
    if granted and not message.pre_vote:
        _grant_vote(core, message.source_generation)
    header = core.make_header(message.source_generation)
    reply = VoteReply(*header, message.pre_vote, requested, granted)
    core.send_when_synced(sender, reply)


def _is_vote_available(core: ReplicaCore, candidate: str) -> bool:
    return core.hard_state.vote in ("", candidate)


def _grant_vote(core: ReplicaCore, candidate: str) -> None:
    core.restart_election_timer()
    if core.hard_state.vote != candidate:
        core.update_hard_state(replace_term_and_vote(core.hard_state, core.term, candidate))


def handle_vote_reply(core: ReplicaCore, message: VoteReply) -> None:
    """Count a granted vote."""
    if core.role not in (ReplicaRole.PRE_CANDIDATE, ReplicaRole.CANDIDATE) or not message.granted:
        return
    asked = Term(core.term + 1) if core.role is ReplicaRole.PRE_CANDIDATE else core.term
    is_pre_vote = core.role is ReplicaRole.PRE_CANDIDATE
    if message.requested_term == asked and message.pre_vote == is_pre_vote:
        core.candidacy.votes.add(message.source_generation)
        _count_votes(core)


def count_own_vote(core: ReplicaCore) -> None:
    """Count this candidate's vote for itself once it is synced."""
    if (
        core.role is ReplicaRole.CANDIDATE
        and core.write_queue.last_persisted >= core.candidacy.own_vote_write
    ):
        core.candidacy.votes.add(core.identity.generation)
        _count_votes(core)


def _count_votes(core: ReplicaCore) -> None:
    membership = core.log.membership
    votes = sum(voter.generation in core.candidacy.votes for voter in membership.voters)
    if votes < membership.quorum:
        return
    if core.role is ReplicaRole.PRE_CANDIDATE:
        _start_election(core)
    elif core.role is ReplicaRole.CANDIDATE and core.identity.generation in core.candidacy.votes:
        become_leader(core)
