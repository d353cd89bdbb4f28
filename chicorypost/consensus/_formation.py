"""Formation: how a replica without a cluster joins one or bootstraps it.

Only the first of the founding members bootstraps a cluster, once all the others have replied to it
that they belong to none. So a replica with an emptied data folder can't bootstrap a second cluster:
its peers report the existing one. It returns with a new generation, without a vote, and waits to be
added.
"""

from chicorypost.base import InstanceId, Instant
from chicorypost.consensus import _events
from chicorypost.consensus._core import ReplicaCore, format_members
from chicorypost.consensus._log import Log
from chicorypost.consensus._messages import ClusterInfo, FormationHello
from chicorypost.consensus._records import NO_TERM, ClusterMembership, HardState, MemberId

CLUSTER_ID_BITS = 64


def needs_hello(core: ReplicaCore) -> bool:
    """Return whether this replica isn't a member yet and has to send hello messages."""
    return not core.is_formed or core.identity not in core.log.membership.members


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
    return sorted((members | configured) - {core.identity.instance})


def handle_hello(core: ReplicaCore, sender: InstanceId, message: FormationHello) -> None:
    """Send the own cluster to a peer that has none; without one, record the peer as unformed."""
    if core.is_formed:
        _record_hello_sender(core, sender, message)
        if not message.cluster:
            info = ClusterInfo(core.hard_state.cluster, core.hard_state.initial_membership)
            core.send_when_synced(sender, info)
        return
    if not message.cluster:
        has_own_generation = message.target_generation == core.identity.generation
        core.unformed_peers[sender] = (message.source_generation, has_own_generation)
        _bootstrap_if_ready(core)


def _record_hello_sender(core: ReplicaCore, sender: InstanceId, message: FormationHello) -> None:
    is_foreign = message.cluster not in ("", core.hard_state.cluster)
    generations = {member.generation for member in core.log.membership.members}
    if not message.cluster:
        # A hello that a founding member sent before the bootstrap may arrive after it.
        generations.update(
            member.generation for member in core.hard_state.initial_membership.voters
        )
    if not is_foreign and message.source_generation not in generations:
        _record_waiting_member(core, sender, message.source_generation)


def record_removed_member(core: ReplicaCore, sender: InstanceId, generation: str) -> None:
    """Record a removed member that requests votes because it lacks the entry of its removal."""
    if generation not in {member.generation for member in core.log.membership.members}:
        _record_waiting_member(core, sender, generation)


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
        core.send_when_synced(
            founding_member, ClusterInfo(cluster, core.hard_state.initial_membership)
        )


def handle_cluster_info(core: ReplicaCore, message: ClusterInfo) -> None:
    """Join the cluster of a peer, unless this replica belongs to one already."""
    if not core.is_formed and message.cluster:
        _join_cluster(core, message.cluster, message.initial_membership)


def _join_cluster(core: ReplicaCore, cluster: str, initial_membership: ClusterMembership) -> None:
    core.update_hard_state(HardState(NO_TERM, "", cluster, initial_membership))
    core.log = Log(core.base_snapshot())
    core.unformed_peers.clear()
    core.last_leader_contact = core.now
    core.restart_election_timer()
    core.set_role(core.passive_role(), None)
