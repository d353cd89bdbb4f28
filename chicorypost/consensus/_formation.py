"""Formation: how replicas without a cluster find one, or found it.

A cluster is founded only when the first of the founding members has heard from all the others that
they know of none. So an emptied data folder can't found a second cluster beside the first: its
peers know one. It comes back with a new generation, without a vote, and waits to be added.
"""

from chicorypost.base import InstanceId, Instant
from chicorypost.consensus import _events
from chicorypost.consensus._core import ReplicaCore, describe_members
from chicorypost.consensus._log import Log
from chicorypost.consensus._messages import ClusterInfo, Hello
from chicorypost.consensus._records import NO_TERM, HardState, MemberId, Membership

CLUSTER_ID_BITS = 64


def needs_hello(core: ReplicaCore) -> bool:
    """Return whether this replica has to make itself known."""
    return not core.is_formed or core.identity not in core.log.membership.members


def send_hellos(core: ReplicaCore) -> None:
    """Make this replica known to all peers it knows of."""
    core.hello_deadline = Instant(core.now + core.settings.election_seconds)
    for peer in _peers(core):
        heard, _ = core.greetings.get(peer, ("", False))
        cluster, source = core.hard_state.cluster, core.identity.generation
        core.send_when_synced(peer, Hello(cluster, source, heard))
    _found_if_complete(core)


def _peers(core: ReplicaCore) -> list[InstanceId]:
    known = {member.instance for member in core.log.membership.members}
    named = set(core.settings.founding_members) | set(core.contacts)
    return sorted((known | named) - {core.identity.instance})


def handle_hello(core: ReplicaCore, sender: InstanceId, message: Hello) -> None:
    """Answer with the cluster, or note a peer that knows none either."""
    if core.is_formed:
        _note_waiting(core, sender, message)
        if not message.cluster:
            info = ClusterInfo(core.hard_state.cluster, core.hard_state.founding)
            core.send_when_synced(sender, info)
        return
    if not message.cluster:
        knows_us = message.target == core.identity.generation
        core.greetings[sender] = (message.source, knows_us)
        _found_if_complete(core)


def _note_waiting(core: ReplicaCore, sender: InstanceId, message: Hello) -> None:
    is_foreign = message.cluster not in ("", core.hard_state.cluster)
    generations = {member.generation for member in core.log.membership.members}
    if not message.cluster:
        # A founder's greeting from before the founding may arrive after it.
        generations.update(member.generation for member in core.hard_state.founding.voters)
    if not is_foreign and message.source not in generations:
        _note_generation(core, sender, message.source)


def note_former_member(core: ReplicaCore, sender: InstanceId, generation: str) -> None:
    """Note an instance that asks for votes though it has been removed without learning of it."""
    if generation not in {member.generation for member in core.log.membership.members}:
        _note_generation(core, sender, generation)


def _note_generation(core: ReplicaCore, sender: InstanceId, generation: str) -> None:
    core.greeted_at[sender] = core.now
    if core.waiting.get(sender) == generation:
        return
    core.waiting[sender] = generation
    waiting = _events.MEMBER_WAITING.emit(member=sender, generation=generation)
    core.effects.append(waiting)


def _found_if_complete(core: ReplicaCore) -> None:
    founders = sorted(set(core.settings.founding_members))
    if core.is_formed or not founders or founders[0] != core.identity.instance:
        return
    voters = [core.identity]
    for founder in founders[1:]:
        generation, knows_us = core.greetings.get(founder, ("", False))
        if not knows_us:
            return
        voters.append(MemberId(founder, generation))
    cluster = f"{core.random.getrandbits(CLUSTER_ID_BITS):016x}"
    founded = _events.FOUNDED.emit(cluster=cluster, voters=describe_members(tuple(voters)))
    core.effects.append(founded)
    _join(core, cluster, Membership(tuple(voters)))
    for founder in founders[1:]:
        core.send_when_synced(founder, ClusterInfo(cluster, core.hard_state.founding))


def handle_cluster_info(core: ReplicaCore, message: ClusterInfo) -> None:
    """Join the cluster that a peer knows, unless one is known already."""
    if not core.is_formed and message.cluster:
        _join(core, message.cluster, message.founding)


def _join(core: ReplicaCore, cluster: str, founding: Membership) -> None:
    core.store_hard_state(HardState(NO_TERM, "", cluster, founding))
    core.log = Log(core.base_snapshot())
    core.greetings.clear()
    core.leader_contact = core.now
    core.restart_election_timer()
    core.set_role(core.passive_role(), None)
