"""Tests of patches and of the check of a whole document."""

import json

import pytest

from chicorypost.base import ServiceId
from chicorypost.configuration import (
    ConfigurationDocument,
    InvalidPatch,
    Patch,
    PatchFormat,
    apply_patch,
)

BASE = ConfigurationDocument.model_validate(
    {
        "services": {
            "ordering": {"addresses": ["10.0.0.1:80/tcp"], "selector": {"service": "ordering"}},
            "archive": {
                "addresses": ["10.0.0.2:80/tcp"],
                "hosts": ["archive.example"],
                "selector": {"service": "archive"},
            },
        }
    }
)
DOUBLING = [{"op": "add", "path": "/x", "value": ["x" * 1000]}]
DOUBLING += [{"op": "copy", "from": "/x", "path": "/x/-"} for _ in range(60)]


def merge(value):
    return Patch(PatchFormat.MERGE_PATCH, json.dumps(value).encode())


def operations(*steps):
    return Patch(PatchFormat.JSON_PATCH, json.dumps(list(steps)).encode())


def ordering(**fields):
    return merge({"services": {"ordering": fields}})


def test_both_formats_lead_to_the_same_document():
    by_merge = apply_patch(BASE, ordering(deadline_seconds=2, hosts=["o.example"]))
    by_operations = apply_patch(
        BASE,
        operations(
            {"op": "add", "path": "/services/ordering/deadline_seconds", "value": 2},
            {"op": "add", "path": "/services/ordering/hosts", "value": ["o.example"]},
        ),
    )
    assert isinstance(by_merge, ConfigurationDocument)
    assert by_merge == by_operations
    assert BASE.services[ServiceId("ordering")].hosts == ()


@pytest.mark.parametrize(
    ("patch", "path"),
    [
        (ordering(addresses=["10.0.0.1"]), "/services/ordering/addresses/0"),
        (ordering(addresses=["010.0.0.1:80/tcp"]), "/services/ordering/addresses/0"),
        (ordering(addresses=["10.0.0.1:080/tcp"]), "/services/ordering/addresses/0"),
        (ordering(addresses=["10.0.0.1:0/tcp"]), "/services/ordering/addresses/0"),
        (ordering(addresses=["[0::1]:80/udp"]), "/services/ordering/addresses/0"),
        (ordering(addresses=["10.0.0.2:80/tcp"]), "/services/archive/addresses/0"),
        (ordering(hosts=["archive.example"]), "/services/archive/hosts/0"),
        (ordering(hosts=["UPPER"]), "/services/ordering/hosts/0"),
        (ordering(selector={"service": ""}), "/services/ordering/selector/service"),
        (ordering(selector=None), "/services/ordering/selector"),
        (ordering(limits={"slots": 0}), "/services/ordering/limits/slots"),
        (ordering(deadline_seconds=0), "/services/ordering/deadline_seconds"),
        (ordering(retention_seconds=1e300), "/services/ordering/retention_seconds"),
        (ordering(unknown=1), "/services/ordering/unknown"),
        (ordering(idempotent=[{"method": "get"}]), "/services/ordering/idempotent/0/method"),
        (merge({"services": {"A b": {"selector": {"service": "x"}}}}), "/services/A b"),
        (merge([]), ""),
        (Patch(PatchFormat.MERGE_PATCH, b'{"a": NaN}'), ""),
        (Patch(PatchFormat.MERGE_PATCH, b'{"services": {}, "services": {}}'), ""),
        (Patch(PatchFormat.MERGE_PATCH, b'{"a": "\\ud800"}'), ""),
        (Patch(PatchFormat.MERGE_PATCH, b"[" * 100_000), ""),
        (Patch(PatchFormat.MERGE_PATCH, b'"' + b"x" * 300_000 + b'"'), ""),
        (operations({"op": "test", "path": "/services", "value": {}}), "/0"),
        (operations({"op": "remove", "path": "/services/none"}), "/0"),
        (operations({"op": "add", "path": "/services/ordering/addresses/x", "value": 1}), "/0"),
        (operations({"op": "eval", "path": ""}), "/0"),
        (operations({"op": "move", "path": "/services"}), "/0"),
        (operations(*DOUBLING), ""),
    ],
)
def test_a_mistake_is_named_with_its_path_what_was_got_and_what_is_allowed(patch, path):
    refusal = apply_patch(BASE, patch)
    assert isinstance(refusal, InvalidPatch)
    assert [mistake.path for mistake in refusal.errors] == [path]
    assert refusal.errors[0].got
    assert refusal.errors[0].allowed


def test_all_mistakes_are_reported_at_once():
    refusal = apply_patch(BASE, ordering(limits={"slots": 0, "queue_length": -1}, retry_budget=2))
    assert isinstance(refusal, InvalidPatch)
    assert len(refusal.errors) == 3
