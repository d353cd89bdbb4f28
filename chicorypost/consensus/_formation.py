"""Formation: how a replica without a cluster joins one or bootstraps it.

Only the first of the founding members bootstraps a cluster, once all the others have replied to it
that they belong to none. So a replica with an emptied data folder can't bootstrap a second cluster:
its peers report the existing one. It returns with a new generation, without a vote, and waits to be
added. The leader adds it, so its hello has to reach all members; its peers report them.
"""

from chicorypost.base import InstanceId, Instant
from chicorypost.consensus import _events
from chicorypost.consensus._core import ReplicaCore, format_members
from chicorypost.consensus._log import Log
from chicorypost.consensus._messages import ClusterInfo, FormationHello
from chicorypost.consensus._records import NO_TERM, ClusterMembership, HardState, MemberId

CLUSTER_ID_BITS = 64


def needs_hello(core: ReplicaCore) -> bool:
    """Return whether this replica isn't a member and has to send hello messages.

    A voter that was removed while it was silent lacks the entry of its removal; its peers report
    it.
    """
    is_member = core.identity in core.log.membership.members and not core.reported_members
    return not core.is_formed or not is_member


def send_hellos(core: ReplicaCore) -> None:
    """Send a hello message to all members, founding members and contacts."""
    settings = core.settings
    seconds = settings.election_seconds if core.is_formed else settings.first_election_seconds
    core.hello_deadline = Instant(core.now + seconds)
    for peer in _hello_targets(core):
        peer_generation, _ = core.unformed_peers.get(peer, ("", False))
        cluster, source = core.hard_state.cluster, core.identity.generation
        core.send_when_synced(peer, FormationHello(cluster, source, peer_generation))
    _bootstrap_if_ready(core)


def _hello_targets(core: ReplicaCore) -> list[InstanceId]:
    members = {member.instance for member in core.log.membership.members}
    configured = set(core.settings.founding_members) | set(core.contacts)
    return sorted((members | core.reported_members | configured) - {core.identity.instance})


def handle_hello(core: ReplicaCore, sender: InstanceId, message: FormationHello) -> None:
    """Send the own cluster to a peer outside it; without one, record the peer as unformed."""
    if core.is_formed:
        is_waiting = _record_hello_sender(core, sender, message)
        if is_waiting or not message.cluster:
            _send_cluster_info(core, sender)
        return
    if not message.cluster:
        has_own_generation = message.target_generation == core.identity.generation
        core.unformed_peers[sender] = (message.source_generation, has_own_generation)
        _bootstrap_if_ready(core)


def _send_cluster_info(core: ReplicaCore, to: InstanceId) -> None:
    state = core.hard_state
    info = ClusterInfo(state.cluster, state.initial_membership, core.log.membership.members)
    core.send_when_synced(to, info)


def _record_hello_sender(core: ReplicaCore, sender: InstanceId, message: FormationHello) -> bool:
    """Record the sender as waiting if it isn't a member; return whether it is waiting."""
    is_foreign = message.cluster not in ("", core.hard_state.cluster)
    generations = {member.generation for member in core.log.membership.members}
    if not message.cluster:
        # A hello that a founding member sent before the bootstrap may arrive after it.
        generations.update(
            member.generation for member in core.hard_state.initial_membership.voters
        )
    is_waiting = not is_foreign and message.source_generation not in generations
    if is_waiting:
        _record_waiting_member(core, sender, message.source_generation)
    return is_waiting


def record_removed_member(core: ReplicaCore, sender: InstanceId, generation: str) -> None:
    """Record a removed member that requests votes because it lacks the entry of its removal.

    It requests votes of the voters that it knows; the leader may not be one of them.
    """
    if generation not in {member.generation for member in core.log.membership.members}:
        _record_waiting_member(core, sender, generation)
        _send_cluster_info(core, sender)


def _record_waiting_member(core: ReplicaCore, sender: InstanceId, generation: str) -> None:
    core.waiting_contact[sender] = core.now
    if core.waiting_members.get(sender) == generation:
        return
    core.waiting_members[sender] = generation
    waiting = _events.MEMBER_WAITING.emit(member=sender, generation=generation)
    core.effects.append(waiting)


def _bootstrap_if_ready(core: ReplicaCore) -> None:
    founding_members = sorted(set(core.settings.founding_members))
    if core.is_formed or not founding_members or founding_members[0] != core.identity.instance:
        return
    voters = [core.identity]
    for founding_member in founding_members[1:]:
        generation, has_own_generation = core.unformed_peers.get(founding_member, ("", False))
        if not has_own_generation:
            return
        voters.append(MemberId(founding_member, generation))
    cluster = f"{core.random.getrandbits(CLUSTER_ID_BITS):016x}"
    bootstrapped = _events.CLUSTER_BOOTSTRAPPED.emit(
        cluster=cluster, voters=format_members(tuple(voters))
    )
    core.effects.append(bootstrapped)
    _join_cluster(core, cluster, ClusterMembership(tuple(voters)))
    for founding_member in founding_members[1:]:
        _send_cluster_info(core, founding_member)


def handle_cluster_info(core: ReplicaCore, message: ClusterInfo) -> None:
    """Join the cluster of a peer, and record its members if this replica isn't one of them."""
    if not core.is_formed and message.cluster:
        _join_cluster(core, message.cluster, message.initial_membership)
    is_own_cluster = core.is_formed and message.cluster == core.hard_state.cluster
    if not is_own_cluster or core.leadership is not None or core.identity in message.members:
        return
    # Only the first report is acted on at once: peers whose reports differ would cause a storm.
    if message.members and not core.reported_members:
        core.hello_deadline = core.now
    core.reported_members.update(member.instance for member in message.members)


def _join_cluster(core: ReplicaCore, cluster: str, initial_membership: ClusterMembership) -> None:
    core.update_hard_state(HardState(NO_TERM, "", cluster, initial_membership))
    core.log = Log(core.base_snapshot())
    core.unformed_peers.clear()
    core.last_leader_contact = core.now
    core.restart_election_timer()
    core.set_role(core.passive_role(), None)
