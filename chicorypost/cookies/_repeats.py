"""Decides which flows with a stalled request are reset, so that clients send the request again."""

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from chicorypost.base import FlowKey, Instant, ServiceId, UpstreamId
from chicorypost.cookies._packet import CookiePacket, FlowEnds, RepeatReason
from chicorypost.cookies._settings import BalancingSettings

NEVER = Instant(float("-inf"))
MAX_TOKENS = 2.0
"""Upper bound of the saved budget, so that a fault after a long calm doesn't cause a burst."""
MIN_COPIES = 2
"""Copies of a request's data after which its upstream counts as silent on this balancer's evidence.
An end that acknowledges every second packet acknowledges the first copy at the latest, so a working
upstream causes no second one."""
MIN_JUDGED_COPIES = 1
"""Copies needed beside a shared judgement: one proves that the flow still passes this balancer."""
MAX_COPY_AGE_SECONDS = 1.0
"""Age up to which a copy shows that the flow still passes this balancer."""
CONFIRM_SECONDS = 0.08
"""Time for which the evidence must hold, so that answers that wait in the socket are read first; a
little less than the interval between checks."""
MAX_PAUSE_SECONDS = 0.5
"""Time without a packet or a tick after which this process may have been suspended; twice the
longest interval between ticks."""
RECOVERY_SECONDS = 0.25
"""Time after a disturbance of this balancer in which packets that waited may still arrive."""
USUAL_FACTOR = 2.0
"""Factor of the longest recent response time of the service up to which a request isn't stalled."""
RESPONSE_WINDOW_SECONDS = 10.0
"""Half of the time for which the longest response time is remembered."""
WATCH_SECONDS = 15.0
"""Time without a packet after which a request is no longer watched."""
_SEQUENCE_RANGE = 2**32


class RepeatRefusal(Enum):
    """Why a flow with a stalled request is not reset."""

    ROUTE_REMOVED = "route-removed"
    """The route is gone, serves other services now, or its requests may not be repeated."""
    UPSTREAM_CHANGED = "upstream-changed"
    """The upstream drains, warms up, has left or has restarted."""
    DISTURBED = "disturbed"
    """This process was suspended or its link was full since the request started."""
    UPSTREAM_ANSWERS = "upstream-answers"
    """The upstream has answered a flow since the request started."""
    NO_ALTERNATIVE = "no-alternative"
    """No other upstream is warm, responsive and accepts new flows."""
    OVERLOADED = "overloaded"
    """Every other upstream is busy."""
    NO_PEER_ANSWERS = "no-peer-answers"
    """No other upstream of that data centre has answered a request that started later."""
    MOST_UNRESPONSIVE = "most-unresponsive"
    """Too many upstreams of the service are unresponsive."""
    LITTLE_EVIDENCE = "little-evidence"
    """A single flow, without a shared judgement of the upstream."""
    NO_RECENT_COPY = "no-recent-copy"
    """The client has sent nothing through this balancer lately; the flow may have moved."""
    NO_BUDGET = "no-budget"


FlowReader = Callable[[FlowKey], FlowEnds]


class WatchedRequest(msgspec.Struct):
    """A request without an answer.

    Parameters
    ----------
    upstream : UpstreamId
        Upstream of the flow.
    run : int
        Start of the upstream's run, in milliseconds.
    service : ServiceId
        Service of the upstream.
    target_seconds : float or None
        Latency target of the route; None if its requests may not be repeated.
    started_at : Instant
        Arrival of the latest new data; a body that is still being sent restarts the wait.
    ack_number : int
        The client's acknowledgement; another one proves an answer.
    sequence : int
        Position of the latest new data in the client's stream.
    answers_before : int
        Answers of the upstream on all flows until then.
    copies : int, default 0
        Data packets since then that carried no new data.
    """

    upstream: UpstreamId
    run: int
    service: ServiceId
    target_seconds: float | None
    started_at: Instant
    ack_number: int
    sequence: int
    answers_before: int
    copies: int = 0
    copied_at: Instant = NEVER
    evident_since: Instant | None = None
    reset_at: Instant = NEVER
    refusal: RepeatRefusal | None = None


class LatestAnswer(msgspec.Struct):
    """Of the answered requests of one upstream, the start of the one that started last."""

    started_at: Instant


class RecentMaximum(msgspec.Struct):
    """Largest value of the last one to two windows of `RESPONSE_WINDOW_SECONDS`."""

    window_ends_at: Instant
    current: float = 0.0
    previous: float = 0.0

    def add(self, value: float, now: Instant) -> None:
        """Add a value."""
        if now >= self.window_ends_at:
            self.previous, self.current = self.current, 0.0
            self.window_ends_at = Instant(now + RESPONSE_WINDOW_SECONDS)
        self.current = max(self.current, value)


class ServiceSituation(NamedTuple):
    """Upstreams of the service of a stalled request.

    Parameters
    ----------
    names : frozenset of UpstreamId
        All that accept new flows and aren't silent.
    neighbours : frozenset of UpstreamId
        The others in the data centre of the request's upstream.
    unresponsive : frozenset of UpstreamId
        Those that leave openings unanswered.
    alternatives : int
        Other upstreams that are warm and responsive.
    free_alternatives : int
        Those of them with a free slot, as far as this balancer knows.
    suspect_share : float
        Largest share of unresponsive upstreams at which resets are allowed.
    """

    names: frozenset[UpstreamId]
    neighbours: frozenset[UpstreamId]
    unresponsive: frozenset[UpstreamId]
    alternatives: int
    free_alternatives: int
    suspect_share: float


class Repeats:
    """Watches requests without an answer and decides which of their flows are reset.

    Parameters
    ----------
    settings : BalancingSettings
        Budget, and the time after which a request counts as stalled.
    read_ends : callable
        Returns the ends of a flow.
    now : Instant
        Current time.

    Notes
    -----
    A reset needs, besides a stalled request, a copy of its data that the client has sent through
    this balancer lately, no answer of the upstream on any flow since the request started, and
    either a shared judgement or two flows of different clients without an acknowledgement. The
    budget starts empty, so the resets never exceed the share of the requests seen.
    """

    def __init__(self, settings: BalancingSettings, read_ends: FlowReader, now: Instant) -> None:
        self.settings = settings
        self.read_ends = read_ends
        self.requests: dict[FlowKey, WatchedRequest] = {}
        self.copied_flows: set[FlowKey] = set()
        """Flows of watched requests of which a copy has arrived."""
        self.answer_counts: Counter[UpstreamId] = Counter()
        self.latest_answers: dict[UpstreamId, LatestAnswer] = {}
        self.longest_seconds: dict[ServiceId, RecentMaximum] = {}
        self.judged: dict[UpstreamId, tuple[int, Instant]] = {}
        """Run of each upstream that is judged unresponsive, and the end of the judgement."""
        self.tokens = 0.0
        self.seen_at = now
        self.undisturbed_since = now
        self.has_local_fault = False
        self.counters: Counter[str] = Counter()

    def record_time(self, now: Instant) -> None:
        """Notice a pause or a local fault; called for each packet and tick before it is used."""
        if self.has_local_fault or now - self.seen_at > MAX_PAUSE_SECONDS:
            self.undisturbed_since = Instant(now + RECOVERY_SECONDS)
            self.has_local_fault = False
        self.seen_at = now

    def record_judgement(self, upstream: UpstreamId, run: int, until: Instant) -> None:
        """Record that several balancers see a run of an upstream as unresponsive."""
        self.judged[upstream] = (run, until)

    def withdraw_judgement(self, upstream: UpstreamId) -> None:
        """Record that an upstream is no longer judged unresponsive."""
        self.judged.pop(upstream, None)

    def earn_tokens(self) -> None:
        """Add the share of one request that may be repeated to the budget."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.settings.repeat_share)

    def take_token(self) -> bool:
        """Take one repeat from the budget; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def record_answer(self, upstream: UpstreamId) -> None:
        """Record an answer of an upstream on any flow."""
        self.answer_counts[upstream] += 1

    def record_packet(
        self,
        packet: CookiePacket,
        upstream: UpstreamId,
        run: int,
        service: ServiceId,
        find_target_seconds: Callable[[], float | None],
        now: Instant,
    ) -> None:
        """Record a forwarded packet of an open flow, after its answers were recorded.

        Parameters
        ----------
        packet : CookiePacket
            The packet; not one that a later one has overtaken.
        upstream : UpstreamId
            Its destination.
        run, service : int and ServiceId
            Run and service of the upstream.
        find_target_seconds : callable
            Returns the latency target of the flow's requests, or None if they may not be repeated.
        now : Instant
            Current time.
        """
        request = self.requests.get(packet.flow)
        if request is not None and (request.upstream, request.run) != (upstream, run):
            self.forget_flow(packet.flow)
            request = None
        if request is not None and is_ahead(request.ack_number, packet.ack_number):
            return
        if request is not None and packet.ack_number != request.ack_number:
            self._record_response(request, now)
            self.forget_flow(packet.flow)
            request = None
        if packet.ends_flow:
            self.forget_flow(packet.flow)
        elif packet.data_bytes:
            if request is None:
                self._start_request(packet, upstream, run, service, find_target_seconds(), now)
            elif is_ahead(packet.sequence, request.sequence):
                self._restart_request(packet, request, now)
            else:
                request.copies += 1
                request.copied_at = now
                self.copied_flows.add(packet.flow)

    def forget_flow(self, flow: FlowKey) -> None:
        """Stop watching the request of a flow."""
        self.requests.pop(flow, None)
        self.copied_flows.discard(flow)

    def remove_expired(self, now: Instant) -> None:
        """Remove requests without a recent packet, and judgements that have ended."""
        for flow, request in list(self.requests.items()):
            if now - max(request.started_at, request.copied_at) >= WATCH_SECONDS:
                self.forget_flow(flow)
        self.judged = {name: entry for name, entry in self.judged.items() if now < entry[1]}

    def list_stalled(self, now: Instant) -> list[tuple[FlowKey, WatchedRequest]]:
        """Return the requests that may be repeated if the evidence suffices, oldest first."""
        after_seconds = self.settings.repeat_after_ms / 1000
        stalled = [
            (flow, self.requests[flow])
            for flow in self.copied_flows
            if self.requests[flow].copied_at > self.requests[flow].reset_at
            and now - self.requests[flow].started_at >= after_seconds
        ]
        return sorted(stalled, key=lambda item: (item[1].started_at, item[0]))

    def decide(
        self,
        flow: FlowKey,
        situation: ServiceSituation | RepeatRefusal,
        now: Instant,
    ) -> RepeatReason | None:
        """Return why a flow of `list_stalled` is to be reset now, or None to leave it as it is."""
        request = self.requests[flow]
        if request.target_seconds is None:
            return None
        verdict = self._weigh_evidence(flow, request, situation, now)
        if verdict is None or isinstance(verdict, RepeatRefusal):
            request.evident_since = None
            self._count_refusal(request, verdict)
            return None
        if request.evident_since is None:
            request.evident_since = now
        if now - request.evident_since < CONFIRM_SECONDS:
            return None
        is_first = request.reset_at == NEVER
        if is_first and not self.take_token():
            self._count_refusal(request, RepeatRefusal.NO_BUDGET)
            return None
        if is_first:
            self.counters[f"reset-stalled-{verdict.value}"] += 1
        request.reset_at = now
        return verdict

    def is_judged(self, upstream: UpstreamId, run: int, now: Instant) -> bool:
        """Return whether a run of an upstream is judged unresponsive."""
        judged_run, until = self.judged.get(upstream, (None, NEVER))
        return judged_run == run and now < until

    def dump(self) -> dict[str, Any]:
        """Return the decision state as JSON-compatible values."""
        return {
            "watched": len(self.requests),
            "copied": len(self.copied_flows),
            "judged": {name: until for name, (_, until) in self.judged.items()},
            "tokens": self.tokens,
            "undisturbed_since": self.undisturbed_since,
        }

    def _start_request(
        self,
        packet: CookiePacket,
        upstream: UpstreamId,
        run: int,
        service: ServiceId,
        target_seconds: float | None,
        now: Instant,
    ) -> None:
        if target_seconds is not None:
            self.earn_tokens()
        self.requests[packet.flow] = WatchedRequest(
            upstream,
            run,
            service,
            target_seconds,
            now,
            packet.ack_number,
            packet.sequence,
            self.answer_counts[upstream],
        )

    def _restart_request(self, packet: CookiePacket, request: WatchedRequest, now: Instant) -> None:
        """Restart the wait for an answer, as the client is still sending the request."""
        request.started_at = now
        request.sequence = packet.sequence
        request.answers_before = self.answer_counts[request.upstream]
        request.copies = 0
        request.copied_at = NEVER
        self.copied_flows.discard(packet.flow)

    def _record_response(self, request: WatchedRequest, now: Instant) -> None:
        latest = self.latest_answers.setdefault(request.upstream, LatestAnswer(NEVER))
        latest.started_at = max(latest.started_at, request.started_at)
        longest = self.longest_seconds.get(request.service)
        if longest is None:
            ends_at = Instant(now + RESPONSE_WINDOW_SECONDS)
            longest = self.longest_seconds[request.service] = RecentMaximum(ends_at)
        longest.add(now - request.started_at, now)

    def _stall_seconds(self, request: WatchedRequest) -> float:
        """Return the age from which a request is stalled."""
        longest = self.longest_seconds.get(request.service)
        usual = max(longest.current, longest.previous) if longest is not None else 0.0
        after_seconds = self.settings.repeat_after_ms / 1000
        return max(after_seconds, request.target_seconds or 0.0, USUAL_FACTOR * usual)

    def _weigh_evidence(
        self,
        flow: FlowKey,
        request: WatchedRequest,
        situation: ServiceSituation | RepeatRefusal,
        now: Instant,
    ) -> RepeatReason | RepeatRefusal | None:
        """Return why the flow may be reset or why not; None if the request isn't stalled."""
        if isinstance(situation, RepeatRefusal):
            return situation
        if now - request.started_at < self._stall_seconds(request):
            return None
        if request.started_at < self.undisturbed_since:
            return RepeatRefusal.DISTURBED
        if self._has_answered_since(request):
            return RepeatRefusal.UPSTREAM_ANSWERS
        if not situation.alternatives:
            return RepeatRefusal.NO_ALTERNATIVE
        if not situation.free_alternatives:
            return RepeatRefusal.OVERLOADED
        answering = self._find_answering(situation.names, request.started_at)
        if not answering & situation.neighbours:
            return RepeatRefusal.NO_PEER_ANSWERS
        stalled = self._find_stalled(situation, request, now)
        judged = {name for name, (_, until) in self.judged.items() if now < until}
        unresponsive = stalled | (judged & situation.names)
        most = situation.suspect_share * len(situation.names)
        # A balancer with few flows is compared with the upstreams that it knows about.
        if len(unresponsive) > most or len(stalled) > len(answering):
            return RepeatRefusal.MOST_UNRESPONSIVE
        reason = self._find_reason(flow, request, now)
        if reason is None:
            return RepeatRefusal.LITTLE_EVIDENCE
        if now - request.copied_at > MAX_COPY_AGE_SECONDS:
            return RepeatRefusal.NO_RECENT_COPY
        return reason

    def _has_answered_since(self, request: WatchedRequest) -> bool:
        return self.answer_counts[request.upstream] != request.answers_before

    def _find_answering(self, names: Iterable[UpstreamId], since: Instant) -> frozenset[UpstreamId]:
        """Return the upstreams that have answered a request that started after a time."""
        return frozenset(
            name
            for name in names
            if name in self.latest_answers and self.latest_answers[name].started_at >= since
        )

    def _find_stalled(
        self, situation: ServiceSituation, request: WatchedRequest, now: Instant
    ) -> frozenset[UpstreamId]:
        """Return the upstreams of the service that answer nothing through this balancer."""
        limit = now - self._stall_seconds(request)
        stalled = {
            other.upstream
            for other in self.requests.values()
            if other.started_at <= limit and not self._has_answered_since(other)
        }
        return situation.unresponsive | (stalled & situation.names)

    def _find_reason(
        self, flow: FlowKey, request: WatchedRequest, now: Instant
    ) -> RepeatReason | None:
        if (
            self.is_judged(request.upstream, request.run, now)
            and request.copies >= MIN_JUDGED_COPIES
        ):
            return RepeatReason.JUDGED
        if request.copies >= MIN_COPIES and self._has_witness(flow, request, now):
            return RepeatReason.COPIES
        return None

    def _has_witness(self, flow: FlowKey, request: WatchedRequest, now: Instant) -> bool:
        """Return whether another client's request is unanswered at the same run of the upstream.

        Without another client the fault may be on the way to this one. A flow that was reset
        earlier is no evidence, since its client no longer acknowledges anything.
        """
        client = self.read_ends(flow).client
        limit = now - self._stall_seconds(request)
        return any(
            other.upstream == request.upstream
            and other.run == request.run
            and other.copies >= MIN_COPIES
            and other.reset_at in (NEVER, now)
            and self.undisturbed_since <= other.started_at <= limit
            and now - other.copied_at <= MAX_COPY_AGE_SECONDS
            and self.read_ends(other_flow).client != client
            for other_flow in self.copied_flows
            if (other := self.requests[other_flow]) is not request
        )

    def _count_refusal(self, request: WatchedRequest, refusal: RepeatRefusal | None) -> None:
        """Count a refusal once for each request and reason in a row."""
        if refusal is not None and refusal is not request.refusal:
            self.counters[f"not-repeated-{refusal.value}"] += 1
        request.refusal = refusal


def is_ahead(number: int, other: int) -> bool:
    """Return whether a sequence number is ahead of another one; both wrap around at 32 bits."""
    return 0 < (number - other) % _SEQUENCE_RANGE < _SEQUENCE_RANGE // 2
