"""Exchange of epochs along the tree of a data centre and between data centres."""

from random import Random

from chicorypost.base import DataCentreId, Effect, InstanceId, Instant, Member, Send
from chicorypost.membership._book import ViewBook
from chicorypost.membership._messages import ViewDigest, ViewWanted
from chicorypost.membership._records import ViewRecord, relay_of, tree_children
from chicorypost.membership._settings import MembershipSettings

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
        book: ViewBook,
        random: Random,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.instance = member.instance
        self.data_centre = member.data_centre
        self.book = book
        self.random = random
        self.at = Instant(now + settings.gossip_seconds)
        self.abroad: dict[DataCentreId, list[InstanceId]] = {}
        for peer in peers:
            self.abroad.setdefault(peer.data_centre, []).append(peer.instance)
        own = self.abroad.pop(self.data_centre, [])
        self.neighbours = sorted(name for name in own if name != self.instance)

    def contacts(self) -> list[InstanceId]:
        """Return whom to ask for the view: the grantors last heard of and some neighbours."""
        record = self.book.newest(self.data_centre)
        names = [] if record is None else [grantor.instance for grantor in record.grantors]
        count = min(RANDOM_CONTACTS, len(self.neighbours))
        names += self.random.sample(self.neighbours, count)
        return [name for name in dict.fromkeys(names) if name != self.instance]

    def send(self, target: ViewRecord | None, may_act: bool, now: Instant) -> list[Effect]:
        """Send the digest, if this instance is the relay of its view."""
        self.at = Instant(now + self.settings.gossip_seconds)
        if target is None or not may_act or relay_of(target.view) != self.instance:
            return []
        digest = ViewDigest(self.instance, self.book.lines())
        names = tree_children(target.view, self.instance, self.instance, self.settings.fan_out)
        names += [self._contact(data_centre) for data_centre in sorted(self.abroad)]
        return [Send(name, digest) for name in names]

    def _contact(self, data_centre: DataCentreId) -> InstanceId:
        """Return the relay of another data centre, or any instance when it may be gone."""
        known = self.book.newest(data_centre)
        if known is not None and self.random.random() < 0.5:
            return relay_of(known.view)
        return self.random.choice(self.abroad[data_centre])

    def received(
        self, sender: InstanceId, digest: ViewDigest, target: ViewRecord | None
    ) -> list[Effect]:
        """Ask for what is newer, and pass the digest on."""
        wanted: list[Effect] = [
            Send(sender, ViewWanted(line.data_centre, self.book.epoch(line.data_centre)))
            for line in digest.lines
            if line.epoch > self.book.epoch(line.data_centre)
        ]
        if target is None:
            return wanted
        members = {member.instance for member in target.view.members}
        if digest.root in members:
            fan_out = self.settings.fan_out
            names = tree_children(target.view, digest.root, self.instance, fan_out)
        else:
            relay = relay_of(target.view)
            names = [relay] if relay not in (self.instance, sender) else []
        return wanted + [Send(name, digest) for name in names]
