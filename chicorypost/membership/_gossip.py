"""Exchange of epochs along the tree of a data centre and between data centres."""

from random import Random

from chicorypost.base import DataCentreId, Effect, InstanceId, Instant, Member, Send
from chicorypost.membership._messages import ViewDigest, ViewRequest
from chicorypost.membership._records import ViewRecord, choose_relay, tree_children
from chicorypost.membership._settings import MembershipSettings
from chicorypost.membership._view_history import ViewHistory

RANDOM_CONTACTS = 2


class Gossip:
    """One member of each data centre tells its own members and one of each other data centre.

    Only epochs travel; who has an older one asks for the difference.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        member: Member,
        peers: tuple[Member, ...],
        book: ViewHistory,
        random: Random,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.instance = member.instance
        self.data_centre = member.data_centre
        self.history = book
        self.random = random
        self.send_at = Instant(now + settings.gossip_seconds)
        self.remote_instances: dict[DataCentreId, list[InstanceId]] = {}
        for peer in peers:
            self.remote_instances.setdefault(peer.data_centre, []).append(peer.instance)
        own = self.remote_instances.pop(self.data_centre, [])
        self.local_peers = sorted(name for name in own if name != self.instance)

    def join_contacts(self) -> list[InstanceId]:
        """Return whom to ask for the view: the grantors last heard of and some neighbours."""
        record = self.history.newest_record(self.data_centre)
        names = [] if record is None else [grantor.instance for grantor in record.grantors]
        count = min(RANDOM_CONTACTS, len(self.local_peers))
        names += self.random.sample(self.local_peers, count)
        return [name for name in dict.fromkeys(names) if name != self.instance]

    def send_digest(self, target: ViewRecord | None, may_act: bool, now: Instant) -> list[Effect]:
        """Send the digest, if this instance is the relay of its view."""
        self.send_at = Instant(now + self.settings.gossip_seconds)
        if target is None or not may_act or choose_relay(target.view) != self.instance:
            return []
        digest = ViewDigest(self.instance, self.history.epoch_entries())
        names = tree_children(target.view, self.instance, self.instance, self.settings.fan_out)
        names += [
            self._choose_remote_contact(data_centre)
            for data_centre in sorted(self.remote_instances)
        ]
        return [Send(name, digest) for name in names]

    def _choose_remote_contact(self, data_centre: DataCentreId) -> InstanceId:
        """Return the relay of another data centre, or any instance when it may be gone."""
        known = self.history.newest_record(data_centre)
        if known is not None and self.random.random() < 0.5:
            return choose_relay(known.view)
        return self.random.choice(self.remote_instances[data_centre])

    def handle_digest(
        self, sender: InstanceId, digest: ViewDigest, target: ViewRecord | None
    ) -> list[Effect]:
        """Ask for what is newer, and pass the digest on."""
        wanted: list[Effect] = [
            Send(sender, ViewRequest(line.data_centre, self.history.newest_epoch(line.data_centre)))
            for line in digest.entries
            if line.epoch > self.history.newest_epoch(line.data_centre)
        ]
        if target is None:
            return wanted
        members = {member.instance for member in target.view.members}
        if digest.root in members:
            fan_out = self.settings.fan_out
            names = tree_children(target.view, digest.root, self.instance, fan_out)
        else:
            relay = choose_relay(target.view)
            names = [relay] if relay not in (self.instance, sender) else []
        return wanted + [Send(name, digest) for name in names]
