"""Calls of operators and upstreams at a control instance."""

from uuid import uuid4

import trio

from chicorypost.announcements import (
    Announcement,
    LeaveNotice,
    UpstreamCallCompleted,
    UpstreamCallReceived,
)
from chicorypost.base import InstanceId
from chicorypost.consensus import ProposalAccepted, Propose, Read, ReadReady
from chicorypost.metrics import PlainHistogram
from chicorypost.platform import (
    AnnounceCall,
    AnnouncementMistake,
    LeaveCall,
    Simple,
    answer_document,
    answer_done,
    answer_elsewhere,
    answer_mistake,
    answer_unavailable,
    answer_unknown,
    read_announcement,
    read_call,
    read_configuration,
    read_leaving,
)
from chicorypost.roles._events import (
    ANNOUNCEMENT_REFUSED,
    CONFIGURATION_ACCEPTED,
    CONFIGURATION_REFUSED,
)
from chicorypost.roles._journal import Journal
from chicorypost.roles._replica_host import ReplicaHost
from chicorypost.roles._waiters import Waiters
from chicorypost.routing import InvalidRouting, RoutingState, make_store_command
from chicorypost.transport import HttpServerRequest, HttpServerResponse

ANSWER_SECONDS = 0.9
"""How long a call waits for the log; callers try another instance after one second."""
ANNOUNCE_SECONDS = 0.8
"""How long an announcement waits for the peers; upstreams give up after one second."""


class ControlCalls:
    """Answers the calls of one control instance.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    host : ReplicaHost
        The replica.
    state : RoutingState
        The configuration on this instance.
    waiters : Waiters
        Hands events to the machines and waits for answers.
    journal : Journal
        Takes log events.
    """

    def __init__(
        self,
        instance: InstanceId,
        host: ReplicaHost,
        state: RoutingState,
        waiters: Waiters,
        journal: Journal,
    ) -> None:
        self.instance = instance
        self.host = host
        self.state = state
        self.waiters = waiters
        self.journal = journal
        self.seconds = PlainHistogram()

    async def handle(self, request: HttpServerRequest) -> HttpServerResponse:
        """Answer one call and count how long it took."""
        started_at = trio.current_time()
        response = await self._answer(request)
        self.seconds.observe(trio.current_time() - started_at)
        return response

    async def _answer(self, request: HttpServerRequest) -> HttpServerResponse:
        match read_call(request):
            case AnnounceCall(name):
                return await self._announce(name, read_announcement(name, request.body))
            case LeaveCall(name):
                return await self._announce(name, read_leaving(name, request.body))
            case Simple.PUT:
                return await self._put(request)
            case Simple.GET:
                return await self._get(request)
            case _:
                return answer_unknown()

    async def _announce(
        self, name: str, content: Announcement | LeaveNotice | AnnouncementMistake
    ) -> HttpServerResponse:
        refusal = self._refuse_announcement(content)
        if refusal is not None or isinstance(content, AnnouncementMistake):
            reason = refusal or "unreadable"
            event = ANNOUNCEMENT_REFUSED.emit(upstream=name[:60], reason=reason)
            self.journal.emit(event)
            return answer_mistake(reason)
        call = uuid4().hex
        answer = await self.waiters.ask(call, UpstreamCallReceived(call, content), ANNOUNCE_SECONDS)
        if not isinstance(answer, UpstreamCallCompleted):
            return answer_unavailable("other control instances don't answer")
        return answer_done()

    def _refuse_announcement(
        self, content: Announcement | LeaveNotice | AnnouncementMistake
    ) -> str | None:
        """Return why a call can't be used, or None."""
        if isinstance(content, AnnouncementMistake):
            return content.detail
        document = self.state.document
        if document is None or isinstance(content, LeaveNotice):
            return None
        is_known = any(spec.service == content.service for spec in document.services)
        return None if is_known else f"unknown service {content.service!r:.60}"

    async def _put(self, request: HttpServerRequest) -> HttpServerResponse:
        document = read_configuration(request.body)
        if isinstance(document, InvalidRouting):
            self.journal.emit(CONFIGURATION_REFUSED.emit(reason=document.detail))
            return answer_mistake(document.detail)
        if document.version > self.state.version:
            proposal = uuid4().hex
            command = Propose(proposal, make_store_command(document, request.body))
            answer = await self.waiters.ask(proposal, command, ANSWER_SECONDS)
            if not isinstance(answer, ProposalAccepted):
                return self._answer_elsewhere(request)
        # A version that isn't higher than the one in force is acknowledged and changes nothing.
        self.journal.emit(CONFIGURATION_ACCEPTED.emit(version=document.version))
        return answer_done()

    async def _get(self, request: HttpServerRequest) -> HttpServerResponse:
        read = uuid4().hex
        answer = await self.waiters.ask(read, Read(read), ANSWER_SECONDS)
        if not isinstance(answer, ReadReady):
            return self._answer_elsewhere(request)
        if self.state.document is None:
            return answer_unavailable("no configuration yet")
        return answer_document(self.state.stored.original)

    def _answer_elsewhere(self, request: HttpServerRequest) -> HttpServerResponse:
        """Send the caller to the leader, or away if none is known."""
        leader = self.host.replica.leader if self.host.replica is not None else None
        if leader is None or leader == self.instance:
            return answer_unavailable("no quorum confirms that this instance is current")
        return answer_elsewhere(leader, request)
