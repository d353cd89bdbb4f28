"""Decides which requests are turned away from an unresponsive upstream instead of forwarded."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

from chicorypost.base import FlowKey, Instant, UpstreamId
from chicorypost.cookies._flows import FlowState
from chicorypost.cookies._judged_upstreams import JudgedUpstreams
from chicorypost.cookies._packet import CookiePacket
from chicorypost.cookies._repeats import Repeats, is_ahead

MIN_JUDGEMENT_SECONDS = 0.5
"""Time for which a judgement must have held. Balancers that have answers contradict a wrong one
within one check and one page of the feed."""
REMEMBERED_SECONDS = 15.0
"""Time for which a diverted flow is remembered; clients don't repeat data for longer."""


class DiversionRefusal(Enum):
    """Why a request is forwarded to an upstream that is judged unresponsive."""

    JUST_JUDGED = "just-judged"
    UPSTREAM_ANSWERS = "upstream-answers"
    """This balancer has had an answer lately."""
    UNKNOWN_FLOW = "unknown-flow"
    """The flow was opened through another balancer, so a request may be running."""
    REQUEST_RUNNING = "request-running"
    """The packet belongs to a request that was forwarded before."""
    NO_ALTERNATIVE = "no-alternative"
    """No other upstream is warm, responsive and has a free slot."""
    NO_BUDGET = "no-budget"


class Diversions:
    """Decides whether the flow of a new request is reset because its upstream is unresponsive.

    The request hasn't been forwarded, so it hasn't run, and the packet proves that the flow passes
    this balancer. The client sends the request again on a new flow at once, in place of waiting
    for an upstream that doesn't answer.

    Parameters
    ----------
    judged : JudgedUpstreams
        Judgements of the control instances.
    repeats : Repeats
        Holds the budget.
    """

    def __init__(self, judged: JudgedUpstreams, repeats: Repeats) -> None:
        self.judged = judged
        self.repeats = repeats
        self.diverted_at: dict[FlowKey, Instant] = {}
        self.counters: Counter[str] = Counter()

    def decide(
        self,
        packet: CookiePacket,
        upstream: UpstreamId,
        state: FlowState | None,
        has_alternative: Callable[[], bool],
        now: Instant,
    ) -> bool:
        """Return whether the flow of a packet is reset in place of forwarding the packet.

        Parameters
        ----------
        packet : CookiePacket
            A packet with data of an open flow whose requests may be repeated.
        upstream : UpstreamId
            Upstream of the flow, which is judged unresponsive.
        state : FlowState or None
            What this balancer knows of the flow.
        has_alternative : callable
            Returns whether another upstream can take the request.
        now : Instant
            Current time.
        """
        if packet.flow in self.diverted_at:
            # The reset was lost, and the client repeats its data.
            return True
        refusal = self._find_refusal(packet, upstream, state, has_alternative, now)
        if refusal is not None:
            self.counters[f"not-diverted-{refusal.value}"] += 1
            return False
        self.diverted_at[packet.flow] = now
        return True

    def remove_expired(self, now: Instant) -> None:
        """Forget flows that were diverted long ago."""
        limit = now - REMEMBERED_SECONDS
        for flow in [flow for flow, at in self.diverted_at.items() if at < limit]:
            del self.diverted_at[flow]

    def forget_flow(self, flow: FlowKey) -> None:
        """Forget a flow whose key is used again."""
        self.diverted_at.pop(flow, None)

    def _find_refusal(
        self,
        packet: CookiePacket,
        upstream: UpstreamId,
        state: FlowState | None,
        has_alternative: Callable[[], bool],
        now: Instant,
    ) -> DiversionRefusal | None:
        if now - self.judged.judged_at[upstream] < MIN_JUDGEMENT_SECONDS:
            return DiversionRefusal.JUST_JUDGED
        if self.judged.has_fresh_answer(upstream, now):
            return DiversionRefusal.UPSTREAM_ANSWERS
        if state is None or state.upstream != upstream:
            return DiversionRefusal.UNKNOWN_FLOW
        if state.is_busy or is_ahead(state.ack_number, packet.ack_number):
            return DiversionRefusal.REQUEST_RUNNING
        if not has_alternative():
            return DiversionRefusal.NO_ALTERNATIVE
        if not self.repeats.take_token():
            return DiversionRefusal.NO_BUDGET
        return None
