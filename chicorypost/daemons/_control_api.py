"""The operators' listener of a control instance."""

import functools
import json
from collections.abc import Awaitable, Callable
from typing import Any

from chicorypost.base import DataCentreId, PatchId, Version, encode
from chicorypost.configuration import (
    ConfigurationPublisher,
    ForgetDataCentre,
    PatchAccepted,
    PatchFormat,
    PatchRefused,
    SubmitPatch,
    version_status,
)
from chicorypost.consensus import (
    AddLearner,
    ChangeMembership,
    MembershipChange,
    PromoteLearner,
    ProposalRefused,
    ReadRefused,
    RemoveMember,
    Replica,
)
from chicorypost.consensus import ProposalRefusalReason as LogRefusal
from chicorypost.daemons._admin import json_response
from chicorypost.daemons._control_log import ControlLog
from chicorypost.daemons._control_problems import (
    outcome_unknown,
    problem,
    refused_by_log,
    refused_patch,
)
from chicorypost.daemons._named import to_named
from chicorypost.daemons._wall import MILLISECONDS, wall_ms, wall_text
from chicorypost.transport import HttpServerRequest, HttpServerResponse

MAX_HISTORY = 200
UNKNOWN_AUTHOR = "unknown"

Endpoint = Callable[[HttpServerRequest], Awaitable[HttpServerResponse]]


class OperatorEndpoint:
    """Answers operators.

    Parameters
    ----------
    log : ControlLog
        The replicated configuration.
    replica : Replica
        The replica, for the status.
    publisher : ConfigurationPublisher
        Knows what balancers apply.
    dump : callable
        Returns the decision state of the process.
    answer_seconds : float
        How long a request waits for the log.
    """

    def __init__(
        self,
        log: ControlLog,
        replica: Replica,
        publisher: ConfigurationPublisher,
        dump: Callable[[], dict[str, Any]],
        answer_seconds: float,
    ) -> None:
        self.log = log
        self.replica = replica
        self.publisher = publisher
        self.dump = dump
        self.answer_seconds = answer_seconds
        self.routes: dict[tuple[str, str], Endpoint] = {
            ("GET", "/v1/config"): self.get_configuration,
            ("PATCH", "/v1/config"): self.patch_configuration,
            ("GET", "/v1/config/history"): self.get_history,
            ("GET", "/v1/status"): self.get_status,
            ("GET", "/v1/dump"): self.get_dump,
            ("POST", "/v1/members"): self.change_members,
        }

    async def handle(self, request: HttpServerRequest) -> HttpServerResponse:
        """Serve one request."""
        route = self.routes.get((request.method, request.path)) or self._parametric(request)
        if route is not None:
            return await route(request)
        known = ", ".join(f"{method} {path}" for method, path in self.routes)
        title = f"Request is {request.method} {request.path}; allowed are {known}."
        return problem(404, "unknown-path", title)

    def _parametric(self, request: HttpServerRequest) -> Endpoint | None:
        parent, _, name = request.path.rpartition("/")
        match (request.method, parent):
            case ("GET", "/v1/config/versions") if name.isdecimal():
                return functools.partial(self.get_version, Version(int(name)))
            case ("DELETE", "/v1/data-centres") if name:
                return functools.partial(self.forget_data_centre, DataCentreId(name))
        return None

    async def get_configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return the document; its version is the entity tag."""
        if request.query.get("local") == "1":
            return self._configuration(self._staleness())
        waiter = await self.log.read(self.answer_seconds)
        if isinstance(waiter.answer, ReadRefused):
            return refused_by_log(waiter.answer)
        if waiter.answer is None:
            return problem(504, "no-answer", "The quorum has not answered; try again.")
        return self._configuration(())

    async def patch_configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        """Apply a patch to the version named in ``If-Match``."""
        command = _read_patch(request)
        if isinstance(command, HttpServerResponse):
            return command
        answer = self.log.state.check_patch(command) if self.replica.leader else None
        if answer is not None:
            return _patch_response(answer)
        waiter = await self.log.propose(encode(command), self.answer_seconds)
        match waiter.answer:
            case ProposalRefused(reason=reason) as refusal if (
                reason is not LogRefusal.LEADERSHIP_LOST
            ):
                return refused_by_log(refusal)
        match waiter.outcome:
            case PatchAccepted() | PatchRefused() as outcome:
                return _patch_response(outcome)
        return outcome_unknown()

    async def get_history(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return who changed what, when, and from which version; the newest first."""
        limit = request.query.get("limit", str(MAX_HISTORY))
        count = min(int(limit), MAX_HISTORY) if limit.isdecimal() else MAX_HISTORY
        entries = self.log.state.history[-count:][::-1] if count else []
        return json_response(
            200,
            [{**to_named(entry), "at": wall_text(entry.at_ms)} for entry in entries],
        )

    async def get_version(self, version: Version, request: HttpServerRequest) -> HttpServerResponse:
        """Return where a version is in force."""
        force = version_status(self.publisher, version, self.log.engine.now())
        return json_response(200, to_named(force))

    async def get_status(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return members, silent members and what each data centre applies."""
        now = self.log.engine.now()
        force = version_status(self.publisher, self.log.state.version, now)
        replica = self.replica
        members = replica.membership
        silent = {name: round(now - since, 3) for name, since in replica.silent_members.items()}
        status = {
            "instance": self.publisher.identity,
            "role": replica.role.value,
            "leader": replica.leader,
            "term": replica.term,
            "out_of_touch": self._out_of_touch(),
            "voters": to_named(members.voters),
            "learners": to_named(members.learners),
            "waiting": replica.waiting_members,
            "silent_seconds": silent,
            "version": self.log.state.version,
            "configuration": to_named(force),
        }
        return json_response(200, status)

    async def get_dump(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return the whole decision state of the process."""
        return json_response(200, self.dump())

    async def change_members(self, request: HttpServerRequest) -> HttpServerResponse:
        """Add, promote or remove one member of the replicated log."""
        change = _read_change(request)
        if isinstance(change, HttpServerResponse):
            return change
        name = f"members-{wall_ms()}-{id(request)}"
        waiter = await self.log.ask(name, ChangeMembership(name, change), self.answer_seconds)
        if isinstance(waiter.answer, ProposalRefused):
            refusal = waiter.answer
            if refusal.reason in (LogRefusal.NOT_LEADER, LogRefusal.OUT_OF_TOUCH):
                return refused_by_log(refusal)
            title = refusal.detail or "The change was refused."
            return problem(409, refusal.reason.value, title, leader=refusal.leader)
        if waiter.answer is None:
            return outcome_unknown()
        return json_response(200, {"changed": to_named(change)})

    async def forget_data_centre(
        self, name: DataCentreId, request: HttpServerRequest
    ) -> HttpServerResponse:
        """Stop waiting for a data centre that is gone for good."""
        command = ForgetDataCentre(name, _author(request), wall_ms())
        waiter = await self.log.propose(encode(command), self.answer_seconds)
        if isinstance(waiter.answer, ProposalRefused):
            return refused_by_log(waiter.answer)
        if waiter.outcome is None:
            return outcome_unknown()
        return json_response(200, to_named(waiter.outcome))

    def _configuration(self, headers: tuple[tuple[str, str], ...]) -> HttpServerResponse:
        state = self.log.state
        response = json_response(200, state.desired)
        tag = (("etag", f'"{state.version}"'),)
        return HttpServerResponse(200, response.body, (*response.headers, *tag, *headers))

    def _staleness(self) -> tuple[tuple[str, str], ...]:
        since = self._out_of_touch()
        return (("chicorypost-read", "local"),) + (
            (("chicorypost-out-of-touch-since", since["since"]),) if since else ()
        )

    def _out_of_touch(self) -> dict[str, Any] | None:
        since = self.replica.out_of_touch_since
        if since is None:
            return None
        seconds = self.log.engine.now() - since
        at_ms = wall_ms() - int(seconds * MILLISECONDS)
        return {"since": wall_text(at_ms), "seconds": round(seconds, 3)}


def _author(request: HttpServerRequest) -> str:
    return request.header("from") or UNKNOWN_AUTHOR


def _read_patch(request: HttpServerRequest) -> SubmitPatch | HttpServerResponse:
    media_type = (request.header("content-type") or "").partition(";")[0].strip()
    formats = {item.value: item for item in PatchFormat}
    if media_type not in formats:
        title = f"Content-Type is {media_type!r}; allowed are {', '.join(formats)}."
        return problem(415, "unsupported-format", title)
    expected = (request.header("if-match") or "").strip().strip('"')
    if not expected.isdecimal():
        title = "If-Match must name the version that the patch is made for."
        return problem(428, "version-required", title)
    patch_id = PatchId(request.header("patch-id") or "")
    kind = formats[media_type]
    version = Version(int(expected))
    return SubmitPatch(patch_id, version, kind, request.body, _author(request), wall_ms())


def _read_change(request: HttpServerRequest) -> MembershipChange | HttpServerResponse:
    title = 'The body must be {"action": "add" | "promote" | "remove", "instance", "generation"}.'
    try:
        body = json.loads(request.body)
        action, instance = body["action"], body["instance"]
        generation = body.get("generation")
    except (ValueError, KeyError, TypeError, AttributeError):
        return problem(400, "malformed", title)
    match action:
        case "add" if generation:
            return AddLearner(instance, generation)
        case "promote":
            return PromoteLearner(instance, generation)
        case "remove":
            return RemoveMember(instance, generation)
    return problem(400, "malformed", title)


def _patch_response(outcome: PatchAccepted | PatchRefused) -> HttpServerResponse:
    if isinstance(outcome, PatchRefused):
        return refused_patch(outcome)
    response = json_response(200, to_named(outcome))
    headers = (*response.headers, ("etag", f'"{outcome.version}"'))
    return HttpServerResponse(200, response.body, headers)
