"""In-memory simulation of balancers, upstreams and callers; tests choose the order of steps."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from chicorypost.base import (
    DataCentreId,
    Endpoint,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    Message,
    Received,
    RequestKey,
    Send,
    ServiceId,
    Tick,
    Upstream,
    UpstreamId,
    UpstreamState,
    Version,
    View,
    ViewChanged,
    WallTime,
    decode,
    encode,
)
from chicorypost.configuration import (
    ConfigurationApplied,
    ConfigurationDocument,
    IdempotentRule,
    Priority,
    ServiceSpec,
    UpstreamSelector,
)
from chicorypost.requests import (
    OUTCOME_HEADER,
    CallerGone,
    RequestArrived,
    RequestService,
    RequestSettings,
    Respond,
    make_key,
)
from chicorypost.requests._placement import PartitionPlacement, partition_of
from chicorypost.upstreams import (
    DispatchCancel,
    DispatchOutcome,
    DispatchReply,
    DispatchRequest,
    Drain,
    HttpRequest,
    HttpResponse,
    NoUpstream,
    NoUpstreamReason,
    dispatcher_of,
)

DATA_CENTRE = DataCentreId("gent1")
ORDERS = ServiceId("orders")
LEASE_SECONDS = 3.0
EPOCH_STEP = 8
MAX_ROUNDS = 3000
START_WALL = 1_800_000_000.0
ENDPOINT = Endpoint("127.0.0.1", 1)
FINAL_OUTCOMES = ("done", "not-run")
SPEC = ServiceSpec(
    selector=UpstreamSelector(service=ORDERS),
    idempotent=(IdempotentRule(method="GET", path_prefix="/status"),),
)
DOCUMENT = ConfigurationDocument(services={ORDERS: SPEC})


def make_member(name: str, incarnation: int, data_centre: DataCentreId = DATA_CENTRE) -> Member:
    identity = InstanceId(name), Incarnation(incarnation)
    return Member(*identity, data_centre, ENDPOINT, ENDPOINT)


def make_upstream(name: str, data_centre: DataCentreId = DATA_CENTRE) -> Upstream:
    ready = UpstreamState.READY
    return Upstream(
        UpstreamId(name), Incarnation(1), ORDERS, data_centre, ENDPOINT, ENDPOINT, 3, 100, ready
    )


@dataclass
class FirstUpstream:
    """Chooses the first upstream that is not excluded."""

    upstreams: list[Upstream]

    def choose(self, service, excluded, now):
        for upstream in self.upstreams:
            if upstream.upstream not in excluded:
                return upstream
        return NoUpstream(NoUpstreamReason.ALL_EXCLUDED, "all tried")

    def observe(self, reply, now):
        return []


@dataclass
class Node:
    service: RequestService
    member: Member
    is_alive: bool = True
    is_frozen: bool = False
    lease_end: float = 0.0
    admission_epoch: int = 0
    was_frozen: bool = False
    exchanges: dict[str, tuple[str, DispatchRequest]] = field(default_factory=dict)


@dataclass
class Call:
    """One request on one connection, as seen by its caller."""

    ticket: int
    node: str
    incarnation: int
    key: str
    sent_at: float
    deadline: float
    outcome: str | None = None
    body: bytes = b""
    is_disconnected: bool = False


class Simulation:
    """Simulated balancers, by default of one data centre; `pending` holds the possible steps."""

    def __init__(self, names, upstreams=("u1", "u2"), settings=None, data_centres=None) -> None:
        self.now = 0.0
        self.settings = settings or RequestSettings()
        self.data_centres = data_centres or dict.fromkeys(names, DATA_CENTRE)
        self.upstreams = [make_upstream(name) for name in upstreams]
        self.dead_upstreams: set[str] = set()
        self.incarnations: Counter[str] = Counter()
        self.nodes: dict[str, Node] = {}
        self.views: dict[DataCentreId, View] = {}
        self.pending: list[tuple[str, Any]] = []
        self.cut_links: set[frozenset[str]] = set()
        self.sent: list[tuple[str, str, bytes]] = []
        self.exclusion_timers: list[tuple[float, str, DataCentreId]] = []
        self.runs: Counter[str] = Counter()
        self.upstream_responses: Counter[str] = Counter()
        self.calls: list[Call] = []
        self.response_counts: Counter[int] = Counter()
        self.steps = 0
        self.crash_actions: dict[int, Any] = {}
        self.document = DOCUMENT
        for name in names:
            self.start_instance(name)
        for data_centre in dict.fromkeys(self.data_centres.values()):
            members = [
                self.nodes[name].member for name in names if self.data_centres[name] == data_centre
            ]
            self.install_view(View(data_centre, Epoch(1), tuple(members)))
        self.settle()
        self.sleep(60.0)

    # Membership

    def start_instance(self, name: str) -> None:
        self.incarnations[name] += 1
        member = make_member(name, self.incarnations[name], self.data_centres[name])
        chooser = FirstUpstream(self.upstreams)
        service = RequestService(
            self.settings,
            member,
            chooser,
            Random(name),
            Instant(self.now),
            WallTime(START_WALL + self.now),
        )
        self.nodes[name] = Node(service, member)
        self.deliver_event(name, ConfigurationApplied(Version(1), self.document))
        for view in self.views.values():
            self.deliver_event(name, ViewChanged(view))

    def install_view(self, view: View, slow: tuple[str, ...] = ()) -> None:
        """Send a view to every live instance except the slow ones."""
        self.views[view.data_centre] = view
        self.renew_leases()
        for name, node in self.nodes.items():
            if node.is_alive and name not in slow:
                self.pending.append((name, ("event", ViewChanged(view))))

    def change_view(self, without=(), plus=(), slow=(), data_centre=DATA_CENTRE) -> None:
        members = [m for m in self.views[data_centre].members if m.instance not in without]
        members += [self.nodes[name].member for name in plus]
        epoch = Epoch(self.views[data_centre].epoch + EPOCH_STEP)
        for name in plus:
            self.nodes[name].admission_epoch = epoch
        self.install_view(View(data_centre, epoch, tuple(members)), slow)

    def join_instance(self, name: str) -> None:
        self.start_instance(name)
        self.change_view(without=(name,), plus=(name,), data_centre=self.data_centres[name])

    def renew_leases(self) -> None:
        live = {(m.instance, m.incarnation) for view in self.views.values() for m in view.members}
        for name, node in self.nodes.items():
            identity = (node.member.instance, node.member.incarnation)
            # A lease is granted only after its holder has installed the view that admits it.
            has_view = node.service.context.own_epoch() >= node.admission_epoch
            if node.is_alive and not node.is_frozen and identity in live and has_view:
                node.lease_end = self.now + LEASE_SECONDS
                self.deliver_event(name, LeaseChanged(Instant(node.lease_end)))

    def crash_instance(self, name: str) -> None:
        node = self.nodes[name]
        if not node.is_alive:
            return
        node.is_alive = False
        self.pending = [each for each in self.pending if each[0] != name]
        for call in self.calls:
            if call.node == name and call.outcome is None:
                call.is_disconnected = True
        data_centre = self.data_centres[name]
        self.exclusion_timers.append((self.now + LEASE_SECONDS, name, data_centre))

    def exclude_instance(self, name: str, data_centre: DataCentreId = DATA_CENTRE) -> None:
        """Install a view without an instance if its lease has ended or it has crashed."""
        is_member = any(member.instance == name for member in self.views[data_centre].members)
        node = self.nodes[name]
        if is_member and (not node.is_alive or node.lease_end <= self.now):
            self.change_view(without=(name,), data_centre=data_centre)

    def freeze_instance(self, name: str) -> None:
        self.nodes[name].is_frozen = True
        self.nodes[name].was_frozen = True
        self.exclusion_timers.append((self.now + LEASE_SECONDS, name, self.data_centres[name]))

    def thaw_instance(self, name: str) -> None:
        self.nodes[name].is_frozen = False

    def kill_upstream(self, name: str) -> None:
        self.dead_upstreams.add(name)
        for node_name, node in self.nodes.items():
            for _, request in list(node.exchanges.values()):
                if request.upstream == name:
                    self.end_exchange(node_name, request, DispatchOutcome.UNKNOWN, None)

    # Callers

    def call(self, node: str, key: str | None, seconds=10.0, target="/orders", method="POST"):
        ticket = len(self.calls)
        incarnation = self.incarnations[node]
        request = HttpRequest(method, target, (), (key or f"t{ticket}").encode())
        call = Call(ticket, node, incarnation, key or "", self.now, self.now + seconds)
        self.calls.append(call)
        event = RequestArrived(
            ticket,
            request,
            ORDERS,
            None if key is None else RequestKey(key),
            Instant(call.deadline),
            WallTime(START_WALL + self.now),
            Priority.CONFIRMATION,
        )
        self.pending.append((node, ("event", event)))
        return call

    def disconnect_caller(self, call: Call) -> None:
        self.pending.append((call.node, ("event", CallerGone(call.ticket))))

    # Steps

    def deliver_event(self, name: str, event) -> None:
        node = self.nodes[name]
        for effect in node.service.handle(event, Instant(self.now)):
            match effect:
                case Send(to=to, message=message):
                    self.pending.append((name, ("send", to, encode(message))))
                case Respond(ticket=ticket, response=response):
                    self.record_response(ticket, response)

    def record_response(self, ticket: int, response: HttpResponse) -> None:
        call = self.calls[ticket]
        self.response_counts[ticket] += 1
        call.outcome = dict(response.headers)[OUTCOME_HEADER]
        call.body = response.body
        was_frozen = self.nodes[call.node].was_frozen
        assert was_frozen or self.now <= call.deadline + 1e-6, f"answered late: {call}"

    def step(self, index: int = 0) -> None:
        """Execute one pending step."""
        name, item = self.pending.pop(index)
        self.steps += 1
        match item:
            case ("send", to, data):
                self.sent.append((name, to, data))
                self.pending.append((to, ("receive", name, data)))
            case ("receive", sender, data):
                self.receive_message(name, sender, data)
            case ("event", event):
                self.deliver_event(name, event)
            case ("exchange", request):
                self.run_upstream(name, request)
            case ("answer", request, outcome, response):
                self.end_exchange(name, request, outcome, response)
        action = self.crash_actions.pop(self.steps, None)
        if action is not None:
            action()

    def receive_message(self, name: str, sender: str, data: bytes) -> None:
        node = self.nodes.get(name)
        if node is None or not node.is_alive or frozenset((name, sender)) in self.cut_links:
            return
        message = decode(data)
        assert isinstance(message, Message), message
        match message:
            case DispatchRequest():
                self.pending.append((name, ("exchange", message)))
                node.exchanges[message.attempt] = (sender, message)
            case DispatchCancel():
                pass
            case _:
                self.deliver_event(name, Received(InstanceId(sender), message))

    def run_upstream(self, name: str, request: DispatchRequest) -> None:
        if request.upstream in self.dead_upstreams:
            self.end_exchange(name, request, DispatchOutcome.NOT_STARTED, None)
            return
        key = request.request.body.decode()
        self.runs[key] += 1
        self.upstream_responses[key] += 1
        response = HttpResponse(200, (), b"answer:" + request.request.body)
        response_step = ("answer", request, DispatchOutcome.RESPONDED, response)
        self.pending.append((name, response_step))

    def end_exchange(self, name, request, outcome, response) -> None:
        entry = self.nodes[name].exchanges.pop(request.attempt, None)
        if entry is None:
            return
        reply = DispatchReply(request.attempt, request.upstream, outcome, "", response, 0, 0, 500)
        self.pending.append((name, ("send", entry[0], encode(reply))))

    def runnable_steps(self) -> list[int]:
        """Return the indices of the pending steps of instances that are not frozen."""
        return [i for i, (name, _) in enumerate(self.pending) if not self.nodes[name].is_frozen]

    def settle(self, limit: int = 20_000) -> None:
        """Execute all pending steps in order."""
        for _ in range(limit):
            ready = self.runnable_steps()
            if not ready:
                return
            self.step(ready[0])
        raise AssertionError("pending steps remain after the limit")

    def sleep(self, seconds: float) -> None:
        """Advance the time, with all steps and timers that become due."""
        end = self.now + seconds
        rounds = 0
        while self.now < end:
            self.settle()
            rounds += 1
            assert rounds < MAX_ROUNDS, {
                n: x.service.next_deadline() for n, x in self.nodes.items()
            }
            at = [end, self.now + LEASE_SECONDS / 3, *(due for due, _, _ in self.exclusion_timers)]
            live = [n for n in self.nodes.values() if n.is_alive and not n.is_frozen]
            at += [d for n in live if (d := n.service.next_deadline()) is not None]
            self.now = max(self.now, min(at))
            due = [timer for timer in self.exclusion_timers if timer[0] <= self.now]
            self.exclusion_timers = [
                timer for timer in self.exclusion_timers if timer[0] > self.now
            ]
            for _, name, data_centre in due:
                self.exclude_instance(name, data_centre)
            self.renew_leases()
            for name, node in list(self.nodes.items()):
                deadline = node.service.next_deadline()
                is_due = deadline is not None and deadline <= self.now
                if is_due and node.is_alive and not node.is_frozen:
                    self.deliver_event(name, Tick())
        self.settle()

    # Checks

    def replay_messages(self) -> None:
        """Deliver every message between instances again, as very late copies."""
        for sender, to, data in list(self.sent):
            if sender != to:
                self.pending.append((to, ("receive", sender, data)))
        self.settle()

    def check_outcomes(self) -> None:
        """Compare the outcomes that callers received with the runs of the upstreams."""
        for key, count in self.runs.items():
            assert not key or count <= 1 or key.startswith("t"), f"{key} ran {count} times"
        for call in self.calls:
            assert self.response_counts[call.ticket] <= 1, f"answered twice: {call}"
            if call.outcome == "not-run":
                assert self.runs[call.key] == 0, f"ran after not-run: {call}"
            if call.outcome == "done" and call.key:
                assert call.body == b"answer:" + call.key.encode(), f"wrong answer: {call}"
                assert self.runs[call.key] == 1
            if call.outcome is None and not call.is_disconnected and self.now >= call.deadline:
                was_frozen = self.nodes[call.node].was_frozen
                assert was_frozen, f"no outcome by its deadline: {call}"

    def drain_instance(self, name: str) -> None:
        self.deliver_event(name, Drain())

    def find_key_with_roles(self, data_centre=DATA_CENTRE, seed=1):
        """Return a new key whose entry, owner, backup and runner are four different instances."""
        placement = PartitionPlacement(self.views[data_centre])
        dispatcher = dispatcher_of(self.views[data_centre], self.upstreams[0].upstream)
        assert dispatcher is not None
        random = Random(seed)
        while True:
            key = make_key(data_centre, WallTime(START_WALL + self.now), random)
            partition = partition_of((ORDERS, key))
            owner, backup = placement.owner(partition), placement.backup(partition)
            assert owner is not None and backup is not None
            roles = [owner[0], backup[0], dispatcher.instance]
            entries = [name for name, _ in placement if name not in roles]
            if len(set(roles)) == 3 and entries:
                names = ("entry", "owner", "backup", "runner")
                return key, dict(zip(names, [entries[0], *roles], strict=True))
