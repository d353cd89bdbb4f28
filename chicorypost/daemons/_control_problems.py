"""Problem details (RFC 9457) of the operators' listener."""

import json
from typing import Any

from chicorypost.configuration import PatchRefusalReason, PatchRefused
from chicorypost.consensus import ProposalRefused, ReadRefused
from chicorypost.transport import HttpServerResponse

PROBLEM_HEADERS = (("content-type", "application/problem+json"),)
TYPE_PREFIX = "urn:chicorypost:problem:"

_STATUS = {
    PatchRefusalReason.MALFORMED: 400,
    PatchRefusalReason.INVALID: 422,
    PatchRefusalReason.STALE_VERSION: 412,
    PatchRefusalReason.EXPIRED: 410,
    PatchRefusalReason.PATCH_ID_REUSED: 409,
    PatchRefusalReason.PATCH_ID_INVALID: 400,
}
_TITLES = {
    PatchRefusalReason.MALFORMED: "The patch can't be read.",
    PatchRefusalReason.INVALID: "The patch has mistakes; nothing was changed.",
    PatchRefusalReason.STALE_VERSION: "The configuration has changed; patch the current version.",
    PatchRefusalReason.EXPIRED: "The patch id is too old to be remembered; nothing was changed now.",
    PatchRefusalReason.PATCH_ID_REUSED: "The patch id was used for another patch; use a new one.",
    PatchRefusalReason.PATCH_ID_INVALID: "The patch id is not a recent UUID of version 7.",
}


def problem(status: int, kind: str, title: str, **fields: Any) -> HttpServerResponse:
    """Return a response with problem details."""
    body = {"type": TYPE_PREFIX + kind, "title": title, "status": status, **fields}
    return HttpServerResponse(status, json.dumps(body, indent=2).encode() + b"\n", PROBLEM_HEADERS)


def refused_patch(refusal: PatchRefused) -> HttpServerResponse:
    """Return the response to a patch that was not applied."""
    reason = refusal.reason
    mistakes = [
        {"path": item.path, "got": item.got, "allowed": item.allowed} for item in refusal.mistakes
    ]
    details: dict[str, Any] = {"current_version": refusal.current}
    if mistakes:
        details["mistakes"] = mistakes
    return problem(_STATUS[reason], reason.value, _TITLES[reason], **details)


def refused_by_log(refusal: ProposalRefused | ReadRefused) -> HttpServerResponse:
    """Return the response when this instance can't answer; another one may."""
    title = "This control instance can't answer; ask the leader or another instance."
    return problem(503, refusal.reason.value, title, leader=refusal.leader)


def outcome_unknown() -> HttpServerResponse:
    """Return the response when the log gave no answer in time."""
    title = "No answer yet; send the same patch with the same patch id again."
    return problem(504, "outcome-unknown", title)
