"""Simulation of dispatchers and upstreams that checks slot limits and outcomes."""

# mypy: disable-error-code="arg-type, union-attr"

from benchmarks.machine_loop import MachineLoop
from chicorypost.base import (
    Instant,
    LeaseChanged,
    Received,
    Send,
    Tick,
    UpstreamsChanged,
    ViewChanged,
)
from chicorypost.configuration import Priority
from chicorypost.upstreams import (
    CancelExchange,
    DispatchCancel,
    DispatcherSettings,
    DispatchOutcome,
    DispatchReply,
    DispatchRequest,
    Drain,
    ExchangeEnded,
    HttpRequest,
    HttpResponse,
    RequestDispatcher,
    StartExchange,
    dispatcher_of,
)
from chicorypost.upstreams.tests.builders import DISTANT_FUTURE, make_upstream, make_view

ENTRY = "entry"
GET = HttpRequest("GET", "/", (), b"")
DONE = HttpResponse(200, (), b"")


class DispatchSimulation(MachineLoop):
    """Dispatchers of one view and simulated upstreams that stop work at its deadline.

    Raises
    ------
    AssertionError
        If more exchanges run at an upstream than it has slots, if an attempt runs twice, or if an
        attempt runs after it was reported as not started.
    """

    def __init__(self, count=4, upstreams=("a",), slots=2, settings=None, loss=None, seconds=0.5):
        super().__init__(loss or (lambda *_: (0.001,)), self.record_effect)
        self.settings = settings or DispatcherSettings()
        self.exchange_seconds = seconds
        self.upstreams = [make_upstream(name, slots=slots) for name in upstreams]
        self.running_exchanges = {}
        self.started_attempts, self.replies, self.timers, self.max_running = [], {}, [], 0
        self.epoch, self.count = 0, 0
        self.members = make_view(count).members
        for member in self.members:
            self.start_dispatcher(member)
        self.change_view([member.instance for member in self.members])
        self.advance(self.settings.max_exchange_seconds + 0.1)

    def start_dispatcher(self, member):
        self.start_instance(member.instance, RequestDispatcher(self.settings, member, self.now))
        self.deliver_event(member.instance, UpstreamsChanged(tuple(self.upstreams), ()))

    def change_view(self, names):
        """End all leases before any member acts in the next view, as membership guarantees."""
        for name in list(self.machines):
            if name not in self.frozen_instances:
                self.deliver_event(name, LeaseChanged(None))
        self.epoch += 1
        without = {member.instance for member in self.members} - set(names)
        self.view = make_view(len(self.members), self.epoch, without=without)
        for name in names:
            if name in self.machines and name not in self.frozen_instances:
                self.deliver_event(name, ViewChanged(self.view))
                self.deliver_event(name, LeaseChanged(DISTANT_FUTURE))

    def record_effect(self, instance, effect, now):
        match effect:
            case StartExchange(attempt, upstream, _, deadline):
                assert attempt not in self.started_attempts and attempt not in self.replies
                self.started_attempts.append(attempt)
                end = min(now + self.exchange_seconds, deadline)
                self.running_exchanges[attempt] = (upstream.upstream, end)
                self.timers.append((end, instance, attempt, end < deadline))
                running = sum(u == upstream.upstream for u, _ in self.running_exchanges.values())
                self.max_running = max(self.max_running, running)
                assert running <= upstream.slots, (now, upstream.upstream, running)
            case CancelExchange(attempt) if attempt in self.running_exchanges:
                del self.running_exchanges[attempt]
                self.timers.append((now, instance, attempt, False))
            case Send(to, DispatchReply() as reply) if to == ENTRY:
                assert reply.attempt not in self.replies
                self.replies[reply.attempt] = reply
                if reply.outcome is DispatchOutcome.NOT_STARTED:
                    assert reply.attempt not in self.started_attempts

    def advance(self, seconds):
        """Advance the time by some seconds and end the exchanges that are due."""
        until = self.now + seconds
        while self.timers and min(self.timers)[0] <= until:
            timer = min(self.timers)
            self.timers.remove(timer)
            at, instance, attempt, is_complete = timer
            self.run_until(max(at, self.now))
            if self.running_exchanges.pop(attempt, None) is None and is_complete:
                continue
            outcome = DispatchOutcome.RESPONDED if is_complete else DispatchOutcome.UNKNOWN
            if instance in self.machines:
                response = DONE if is_complete else None
                self.deliver_event(instance, ExchangeEnded(attempt, outcome, "", response))
        self.run_until(until)

    def dispatcher_name(self, name="a"):
        return dispatcher_of(self.view, name).instance

    def send_request(
        self, upstream="a", priority=Priority.ORDINARY, seconds=5.0, attempt=None, to=None
    ):
        self.count += 1
        attempt = attempt or f"t{self.count}"
        ms = int(seconds * 1000)
        message = DispatchRequest(attempt, "orders", upstream, priority, ms, GET)
        self.deliver_event(to or self.dispatcher_name(upstream), Received(ENTRY, message))
        return attempt

    def cancel_attempt(self, attempt, to=None):
        self.deliver_event(to or self.dispatcher_name(), Received(ENTRY, DispatchCancel(attempt)))

    def outcome(self, attempt):
        reply = self.replies.get(attempt)
        return reply and reply.outcome

    def reason(self, attempt):
        reply = self.replies.get(attempt)
        return reply and reply.reason

    def tick_all(self):
        for name in list(self.machines):
            self.deliver_event(name, Tick())

    def drain_dispatcher(self, name):
        self.deliver_event(name, Drain())

    def instant_after(self, seconds):
        return Instant(self.now + seconds)
