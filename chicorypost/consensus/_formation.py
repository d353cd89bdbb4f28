"""Formation: how replicas without a cluster find one, or found it.

A cluster is founded only when the first of the founding members has heard from all the others that
they know of none. So an emptied data folder can't found a second cluster beside the first: its
peers know one. It comes back with a new generation, without a vote, and waits to be added.
"""

from chicorypost.base import InstanceId, Instant
from chicorypost.consensus import _events
from chicorypost.consensus._core import ReplicaCore, format_members
from chicorypost.consensus._log import Log
from chicorypost.consensus._messages import ClusterInfo, FormationHello
from chicorypost.consensus._records import NO_TERM, ClusterMembership, HardState, MemberId

CLUSTER_ID_BITS = 64


def needs_hello(core: ReplicaCore) -> bool:
    """Return whether this replica has to make itself known."""
    return not core.is_formed or core.identity not in core.log.membership.members


def send_hellos(core: ReplicaCore) -> None:
    """Make this replica known to all peers it knows of."""
    core.hello_deadline = Instant(core.now + core.settings.election_seconds)
    for peer in _hello_targets(core):
        heard, _ = core.unformed_peers.get(peer, ("", False))
        cluster, source = core.hard_state.cluster, core.identity.generation
        core.send_when_synced(peer, FormationHello(cluster, source, heard))
    _bootstrap_if_ready(core)


def _hello_targets(core: ReplicaCore) -> list[InstanceId]:
    known = {member.instance for member in core.log.membership.members}
    named = set(core.settings.founding_members) | set(core.contacts)
    return sorted((known | named) - {core.identity.instance})


def handle_hello(core: ReplicaCore, sender: InstanceId, message: FormationHello) -> None:
    """Answer with the cluster, or note a peer that knows none either."""
    if core.is_formed:
        _record_hello_sender(core, sender, message)
        if not message.cluster:
            info = ClusterInfo(core.hard_state.cluster, core.hard_state.initial_membership)
            core.send_when_synced(sender, info)
        return
    if not message.cluster:
        knows_us = message.target_generation == core.identity.generation
        core.unformed_peers[sender] = (message.source_generation, knows_us)
        _bootstrap_if_ready(core)


def _record_hello_sender(core: ReplicaCore, sender: InstanceId, message: FormationHello) -> None:
    is_foreign = message.cluster not in ("", core.hard_state.cluster)
    generations = {member.generation for member in core.log.membership.members}
    if not message.cluster:
        # A founder's greeting from before the founding may arrive after it.
        generations.update(
            member.generation for member in core.hard_state.initial_membership.voters
        )
    if not is_foreign and message.source_generation not in generations:
        _record_waiting_member(core, sender, message.source_generation)


def record_removed_member(core: ReplicaCore, sender: InstanceId, generation: str) -> None:
    """Note an instance that asks for votes though it has been removed without learning of it."""
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
    founders = sorted(set(core.settings.founding_members))
    if core.is_formed or not founders or founders[0] != core.identity.instance:
        return
    voters = [core.identity]
    for founder in founders[1:]:
        generation, knows_us = core.unformed_peers.get(founder, ("", False))
        if not knows_us:
            return
        voters.append(MemberId(founder, generation))
    cluster = f"{core.random.getrandbits(CLUSTER_ID_BITS):016x}"
    founded = _events.CLUSTER_BOOTSTRAPPED.emit(
        cluster=cluster, voters=format_members(tuple(voters))
    )
    core.effects.append(founded)
    _join_cluster(core, cluster, ClusterMembership(tuple(voters)))
    for founder in founders[1:]:
        core.send_when_synced(founder, ClusterInfo(cluster, core.hard_state.initial_membership))


def handle_cluster_info(core: ReplicaCore, message: ClusterInfo) -> None:
    """Join the cluster that a peer knows, unless one is known already."""
    if not core.is_formed and message.cluster:
        _join_cluster(core, message.cluster, message.initial_membership)


def _join_cluster(core: ReplicaCore, cluster: str, founding: ClusterMembership) -> None:
    core.update_hard_state(HardState(NO_TERM, "", cluster, founding))
    core.log = Log(core.base_snapshot())
    core.unformed_peers.clear()
    core.last_leader_contact = core.now
    core.restart_election_timer()
    core.set_role(core.passive_role(), None)
