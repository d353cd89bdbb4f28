"""Requests: ownership, outcomes, retries and deadlines."""

from chicorypost.requests._classify import RequestClass, classify
from chicorypost.requests._interface import (
    CallerGone,
    Chooser,
    RequestArrived,
    Respond,
    WallClockRead,
)
from chicorypost.requests._key import make_key, normalize_key
from chicorypost.requests._outcome import (
    OUTCOME_HEADER,
    PROBLEM_TYPE_PREFIX,
    Outcome,
    Reason,
    RequestResult,
    to_response,
)
from chicorypost.requests._service import REQUEST_EVENTS, REQUEST_MESSAGES, RequestService
from chicorypost.requests._settings import RequestSettings

__all__ = [
    "OUTCOME_HEADER",
    "PROBLEM_TYPE_PREFIX",
    "REQUEST_EVENTS",
    "REQUEST_MESSAGES",
    "CallerGone",
    "Chooser",
    "Outcome",
    "Reason",
    "RequestArrived",
    "RequestClass",
    "RequestResult",
    "RequestService",
    "RequestSettings",
    "Respond",
    "WallClockRead",
    "classify",
    "make_key",
    "normalize_key",
    "to_response",
]
