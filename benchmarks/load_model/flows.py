"""Clients of the load simulation: each flow with its retransmissions and requests."""

from functools import partial
from typing import TYPE_CHECKING

from chicorypost.base import Address, FlowKey, Instant, UpstreamId
from chicorypost.cookies import CookiePacket, ForwardPacket, ResetFlow, ResetReason

if TYPE_CHECKING:
    from benchmarks.load_model.model import LoadModel, ModelUpstream

ADDRESS = Address("1:1")
ONE_WAY_SECONDS = 0.002
"""Latency from a client to an upstream, or back."""
OPENING_COPY_SECONDS = (0.2, 0.6, 1.4)
"""Times of a client's copies of the opening packet; at the last one it gives up."""
LATE_OPENING_SECONDS = 0.25
"""Delay of a late answer to an opening; longer than the client waits with its first copy."""
FIRST_RETRANSMISSION_SECONDS = 0.2
"""Time after which a client repeats data without an acknowledgement; it doubles each time."""
MAX_RETRANSMISSION_SECONDS = 1.6


class ModelFlow:
    """One flow of a client: an opening with retransmissions, then sequential requests."""

    def __init__(
        self, model: "LoadModel", key: FlowKey, balancer: int, requests: int, retries_left: int
    ) -> None:
        self.model = model
        self.key = key
        self.balancer = balancer
        self.retries_left = retries_left
        self.router = model.routers[balancer]
        self.data_centre = model.balancer_data_centres[balancer]
        self.remaining_requests = requests
        self.cookie = 0
        self.acknowledged = 0
        self.opened_upstream: ModelUpstream | None = None
        self.upstream_generation = 0
        self.request_sent_at = 0.0
        self.is_done = False
        self.sent_bytes = 0
        """Position of the request in the client's stream."""
        model.open_flows[key] = self

    def open(self) -> None:
        """Open the flow; its first request is timed from here."""
        self._count_request()
        self.start_opening()

    def start_opening(self) -> None:
        """Schedule the opening packet and its copies."""
        for copies, seconds in enumerate((0.0, *OPENING_COPY_SECONDS[:-1])):
            self.model.schedule(seconds, partial(self._send_opening, copies))
        self.model.schedule(OPENING_COPY_SECONDS[-1], self._give_up_opening)

    def _count_request(self) -> None:
        self.model.result.sent_requests += 1
        self.request_sent_at = self.model.now

    def _send_opening(self, copies: int) -> None:
        if self.cookie or self.is_done or self.model.is_dark:
            return
        packet = CookiePacket(self.key, ADDRESS, True, False, False, copies, 0, 0)
        decision = self.router.route(packet, Instant(self.model.now))
        if not isinstance(decision, ForwardPacket):
            self.fail_attempt()
            return
        upstream = self._find_upstream(decision.upstream)
        if self.is_reachable(upstream):
            cookie = decision.cookie or 0
            share = upstream.late_opening_share
            is_late = share > 0.0 and self.model.random.random() < share
            delay = LATE_OPENING_SECONDS if is_late else 2 * ONE_WAY_SECONDS
            self.model.schedule(delay, lambda: self._complete_opening(upstream, cookie))

    def _find_upstream(self, name: UpstreamId) -> "ModelUpstream":
        return self.model.upstreams[int(name[1:])]

    def is_reachable(self, upstream: "ModelUpstream") -> bool:
        """Return whether packets of this flow get to an upstream."""
        isolated = self.model.isolated_data_centre
        is_separated = isolated is not None and (upstream.data_centre == isolated) != (
            self.data_centre == isolated
        )
        return not upstream.is_crashed and not is_separated

    def _complete_opening(self, upstream: "ModelUpstream", cookie: int) -> None:
        if self.cookie and self.cookie != cookie and not self.is_done:
            self.model.result.crossed_flows += 1
            self._fail()
        if self.cookie or self.is_done:
            return
        self.cookie, self.acknowledged = cookie, 1
        self.opened_upstream = upstream
        self.upstream_generation = upstream.generation
        upstream.flows.add(self.key)
        self._send_request()

    def _give_up_opening(self) -> None:
        if not self.cookie and not self.is_done:
            self.fail_attempt()

    def fail_attempt(self) -> None:
        """Give up a flow that was not opened or was reset.

        The client tries again if it has retries and time left.
        """
        deadline = self.request_sent_at + self.model.settings.deadline_seconds
        if self.retries_left and self.model.now < deadline:
            self.is_done = True
            self.model.retry_flow(self)
        else:
            self._fail()

    def _send_request(self, resend_seconds: float = FIRST_RETRANSMISSION_SECONDS) -> None:
        if self.model.is_dark:
            resend = partial(self._send_request, 2 * resend_seconds)
            self.model.schedule(resend_seconds, resend)
            return
        if self.is_done:
            return
        packet = CookiePacket(
            self.key,
            ADDRESS,
            False,
            False,
            False,
            self.acknowledged,
            500,
            self.cookie,
            self.sent_bytes,
        )
        decision = self.router.route(packet, Instant(self.model.now))
        remaining_seconds = (
            self.request_sent_at + self.model.settings.deadline_seconds - self.model.now
        )
        number = self.remaining_requests
        self.model.schedule(max(0.0, remaining_seconds), lambda: self._fail_if_unanswered(number))
        is_diverted = decision == ResetFlow(ResetReason.UPSTREAM_UNRESPONSIVE)
        if is_diverted and self.opened_upstream is not None:
            self.model.record_reset(self, self.opened_upstream)
            self.model.schedule(ONE_WAY_SECONDS, self.fail_attempt)
        if isinstance(decision, ForwardPacket):
            upstream = self._find_upstream(decision.upstream)
            if self.is_reachable(upstream):
                self._deliver_request(upstream)
            if self.model.settings.repeats_data and not self._is_acknowledged(upstream):
                copy = partial(self._send_copy, number, 2 * resend_seconds)
                self.model.schedule(resend_seconds, copy)

    def _is_acknowledged(self, upstream: "ModelUpstream") -> bool:
        is_silent = upstream.is_hung and not upstream.acknowledges
        return self.is_reachable(upstream) and not is_silent

    def _send_copy(self, number: int, resend_seconds: float) -> None:
        if self.remaining_requests == number:
            self._send_request(min(resend_seconds, MAX_RETRANSMISSION_SECONDS))

    def _deliver_request(self, upstream: "ModelUpstream") -> None:
        is_refused = (
            upstream.refusal_share > 0.0 and self.model.random.random() < upstream.refusal_share
        )
        if is_refused or upstream.generation != self.upstream_generation:
            self._fail()
        elif not upstream.is_hung:
            self._process_request(upstream)

    def _process_request(self, upstream: "ModelUpstream") -> None:
        settings = self.model.settings
        if upstream.running_requests >= settings.slots:
            if len(upstream.queued_work) >= settings.queue:
                self._fail()
            else:
                upstream.queued_work.append(lambda: self._process_request(upstream))
            return
        upstream.running_requests += 1
        work = self.model.random.expovariate(1 / (settings.work_seconds * upstream.slowdown_factor))
        self.model.schedule(work, partial(self._finish_request, upstream, upstream.generation))

    def _finish_request(self, upstream: "ModelUpstream", generation: int) -> None:
        if generation != upstream.generation:
            return
        upstream.running_requests -= 1
        upstream.served_requests += 1
        if upstream.queued_work:
            upstream.queued_work.popleft()()
        if self.is_reachable(upstream) and not self.is_done:
            self.model.schedule(2 * ONE_WAY_SECONDS, self._receive_response)

    def _receive_response(self) -> None:
        if self.is_done:
            return
        self.model.result.latencies.append(self.model.now - self.request_sent_at)
        self.acknowledged += 1000
        self.remaining_requests -= 1
        if self.remaining_requests:
            self.model.schedule(self.model.settings.pause_seconds, self._send_next_request)
        else:
            self._close_flow()

    def _send_next_request(self) -> None:
        self._count_request()
        self.sent_bytes += 500
        self._send_request()

    def _fail_if_unanswered(self, number: int) -> None:
        if not self.is_done and self.remaining_requests == number:
            self._fail()

    def _fail(self) -> None:
        self.is_done = True
        self.model.result.failed_requests += 1

    def _close_flow(self) -> None:
        self.is_done = True
        packet = CookiePacket(
            self.key, ADDRESS, False, True, False, self.acknowledged, 0, self.cookie
        )
        self.router.route(packet, Instant(self.model.now))
