"""Outcomes that callers are told, and their HTTP form."""

import json
import math
from dataclasses import dataclass
from enum import Enum

from chicorypost.upstreams import HttpResponse

OUTCOME_HEADER = "Chicorypost-Outcome"
PROBLEM_TYPE_PREFIX = "urn:chicorypost:outcome:"


class Outcome(Enum):
    """What a caller is promised."""

    DONE = "done"
    """The request ran and this is its answer."""
    NOT_RUN = "not-run"
    """The request was not run and never will be under this key."""
    OUTCOME_UNKNOWN = "outcome-unknown"
    """The request may have run; asking again with the same key is safe."""
    TRY_AGAIN = "try-again"
    """This attempt decided nothing; asking again with the same key is safe."""
    REJECTED = "rejected"
    """The request is not acceptable as it is; this attempt decided nothing."""


class Reason(Enum):
    """Why the outcome is what it is."""

    ANSWERED = "answered"
    ANSWER_NOT_KEPT = "answer-not-kept"
    ANSWER_LOST = "answer-lost"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    STILL_RUNNING = "still-running"
    OWNER_UNREACHABLE = "owner-unreachable"
    OWNER_NOT_READY = "owner-not-ready"
    RECORD_LOST = "record-lost"
    RECORD_EXPIRED = "record-expired"
    TABLE_FULL = "table-full"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    KEY_MISSING = "key-missing"
    KEY_INVALID = "key-invalid"
    KEY_REUSED = "key-reused"
    KEY_IN_FUTURE = "key-in-future"
    UNKNOWN_SERVICE = "unknown-service"


_STATUS = {
    Outcome.NOT_RUN: 409,
    Outcome.OUTCOME_UNKNOWN: 504,
    Outcome.TRY_AGAIN: 503,
    Outcome.REJECTED: 400,
}
_REASON_STATUS = {
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.KEY_REUSED: 422,
    Reason.UNKNOWN_SERVICE: 404,
}
_TITLE = {
    Outcome.DONE: "The request has run; its answer is not kept any more.",
    Outcome.NOT_RUN: "The request was not run and will not be run under this key.",
    Outcome.OUTCOME_UNKNOWN: "The request may have run. Ask again with the same key.",
    Outcome.TRY_AGAIN: "This attempt decided nothing. Ask again with the same key.",
    Outcome.REJECTED: "The request is not acceptable as it is.",
}


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The outcome of one request for one caller."""

    outcome: Outcome
    reason: Reason
    response: HttpResponse | None = None
    retry_after_ms: int = 0


def to_response(verdict: RequestResult) -> HttpResponse:
    """Return the HTTP response that tells a caller the outcome.

    Parameters
    ----------
    verdict : Verdict
        The outcome.

    Returns
    -------
    HttpResponse
        The upstream's answer with the outcome header, or a problem document (RFC 9457).
    """
    outcome = (OUTCOME_HEADER, verdict.outcome.value)
    if verdict.response is not None:
        response = verdict.response
        return HttpResponse(response.status, (*response.headers, outcome), response.body)
    status = _REASON_STATUS.get(verdict.reason) or _STATUS[verdict.outcome]
    headers = [("Content-Type", "application/problem+json"), outcome]
    if verdict.outcome in (Outcome.TRY_AGAIN, Outcome.OUTCOME_UNKNOWN):
        headers.append(("Retry-After", str(max(1, math.ceil(verdict.retry_after_ms / 1000)))))
    problem = {
        "type": PROBLEM_TYPE_PREFIX + verdict.outcome.value,
        "title": _TITLE[verdict.outcome],
        "status": status,
        "reason": verdict.reason.value,
    }
    return HttpResponse(status, tuple(headers), json.dumps(problem).encode())
