"""Dispatchers on the plain loop with upstreams that keep the ground truth."""

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
    DispatchAnswer,
    DispatchCancel,
    Dispatcher,
    DispatcherSettings,
    DispatchOutcome,
    DispatchRequest,
    Drain,
    ExchangeEnded,
    HttpRequest,
    HttpResponse,
    StartExchange,
    dispatcher_of,
)
from chicorypost.upstreams.tests.fakes import LONG, make_upstream, make_view

ENTRY = "entry"
GET = HttpRequest("GET", "/", (), b"")
DONE = HttpResponse(200, (), b"")


class DispatchFleet(MachineLoop):
    """Members of a view that dispatch to upstreams which end work at its deadline.

    Raises
    ------
    AssertionError
        When more exchanges run at an upstream than it has slots, an attempt runs twice, or one
        runs after it was answered as not started.
    """

    def __init__(self, count=4, upstreams=("a",), slots=2, settings=None, loss=None, seconds=0.5):
        super().__init__(loss or (lambda *_: (0.001,)), self.note)
        self.settings = settings or DispatcherSettings()
        self.seconds = seconds
        self.upstreams = [make_upstream(name, slots=slots) for name in upstreams]
        self.truth = {}
        self.ran, self.answers, self.timers, self.most = [], {}, [], 0
        self.epoch, self.count = 0, 0
        self.members = make_view(count).members
        for member in self.members:
            self.start(member)
        self.change_view([member.instance for member in self.members])
        self.advance(self.settings.max_exchange_seconds + 0.1)

    def start(self, member):
        self.add(member.instance, Dispatcher(self.settings, member, self.now))
        self.give(member.instance, UpstreamsChanged(tuple(self.upstreams), ()))

    def change_view(self, names):
        """All stop acting before any acts in the next view, as membership guarantees."""
        for name in list(self.machines):
            if name not in self.frozen:
                self.give(name, LeaseChanged(None))
        self.epoch += 1
        without = {member.instance for member in self.members} - set(names)
        self.view = make_view(len(self.members), self.epoch, without=without)
        for name in names:
            if name in self.machines and name not in self.frozen:
                self.give(name, ViewChanged(self.view))
                self.give(name, LeaseChanged(LONG))

    def note(self, instance, effect, now):
        match effect:
            case StartExchange(attempt, upstream, _, deadline):
                assert attempt not in self.ran and attempt not in self.answers
                self.ran.append(attempt)
                end = min(now + self.seconds, deadline)
                self.truth[attempt] = (upstream.upstream, end)
                self.timers.append((end, instance, attempt, end < deadline))
                running = sum(u == upstream.upstream for u, _ in self.truth.values())
                self.most = max(self.most, running)
                assert running <= upstream.slots, (now, upstream.upstream, running)
            case CancelExchange(attempt) if attempt in self.truth:
                del self.truth[attempt]
                self.timers.append((now, instance, attempt, False))
            case Send(to, DispatchAnswer() as answer) if to == ENTRY:
                assert answer.attempt not in self.answers
                self.answers[answer.attempt] = answer
                if answer.outcome is DispatchOutcome.NOT_STARTED:
                    assert answer.attempt not in self.ran

    def advance(self, seconds):
        """Run to a later time and let exchanges end when they do."""
        until = self.now + seconds
        while self.timers and min(self.timers)[0] <= until:
            timer = min(self.timers)
            self.timers.remove(timer)
            at, instance, attempt, is_whole = timer
            self.run(max(at, self.now))
            if self.truth.pop(attempt, None) is None and is_whole:
                continue
            outcome = DispatchOutcome.ANSWERED if is_whole else DispatchOutcome.UNKNOWN
            if instance in self.machines:
                response = DONE if is_whole else None
                self.give(instance, ExchangeEnded(attempt, outcome, "", response))
        self.run(until)

    def dispatcher(self, name="a"):
        return dispatcher_of(self.view, name).instance

    def send(self, upstream="a", priority=Priority.ORDINARY, seconds=5.0, attempt=None, to=None):
        self.count += 1
        attempt = attempt or f"t{self.count}"
        ms = int(seconds * 1000)
        message = DispatchRequest(attempt, "orders", upstream, priority, ms, GET)
        self.give(to or self.dispatcher(upstream), Received(ENTRY, message))
        return attempt

    def cancel(self, attempt, to=None):
        self.give(to or self.dispatcher(), Received(ENTRY, DispatchCancel(attempt)))

    def outcome(self, attempt):
        answer = self.answers.get(attempt)
        return answer and answer.outcome

    def reason(self, attempt):
        answer = self.answers.get(attempt)
        return answer and answer.reason

    def tick(self):
        for name in list(self.machines):
            self.give(name, Tick())

    def drain(self, name):
        self.give(name, Drain())

    def instant(self, seconds):
        return Instant(self.now + seconds)
