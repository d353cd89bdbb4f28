"""Tests of patches and of document validation."""

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
DOUBLING_OPERATIONS = [{"op": "add", "path": "/x", "value": ["x" * 1000]}]
DOUBLING_OPERATIONS += [{"op": "copy", "from": "/x", "path": "/x/-"} for _ in range(60)]


def make_merge_patch(value):
    return Patch(PatchFormat.MERGE_PATCH, json.dumps(value).encode())


def make_json_patch(*steps):
    return Patch(PatchFormat.JSON_PATCH, json.dumps(list(steps)).encode())


def patch_ordering(**fields):
    return make_merge_patch({"services": {"ordering": fields}})


def test_both_formats_lead_to_the_same_document():
    by_merge = apply_patch(BASE, patch_ordering(deadline_seconds=2, hosts=["o.example"]))
    by_operations = apply_patch(
        BASE,
        make_json_patch(
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
        (patch_ordering(addresses=["10.0.0.1"]), "/services/ordering/addresses/0"),
        (patch_ordering(addresses=["010.0.0.1:80/tcp"]), "/services/ordering/addresses/0"),
        (patch_ordering(addresses=["10.0.0.1:080/tcp"]), "/services/ordering/addresses/0"),
        (patch_ordering(addresses=["10.0.0.1:0/tcp"]), "/services/ordering/addresses/0"),
        (patch_ordering(addresses=["[0::1]:80/udp"]), "/services/ordering/addresses/0"),
        (patch_ordering(addresses=["10.0.0.2:80/tcp"]), "/services/archive/addresses/0"),
        (patch_ordering(hosts=["archive.example"]), "/services/archive/hosts/0"),
        (patch_ordering(hosts=["UPPER"]), "/services/ordering/hosts/0"),
        (patch_ordering(selector={"service": ""}), "/services/ordering/selector/service"),
        (patch_ordering(selector=None), "/services/ordering/selector"),
        (patch_ordering(limits={"slots": 0}), "/services/ordering/limits/slots"),
        (patch_ordering(deadline_seconds=0), "/services/ordering/deadline_seconds"),
        (patch_ordering(retention_seconds=1e300), "/services/ordering/retention_seconds"),
        (patch_ordering(unknown=1), "/services/ordering/unknown"),
        (patch_ordering(idempotent=[{"method": "get"}]), "/services/ordering/idempotent/0/method"),
        (make_merge_patch({"services": {"A b": {"selector": {"service": "x"}}}}), "/services/A b"),
        (make_merge_patch([]), ""),
        (Patch(PatchFormat.MERGE_PATCH, b'{"a": NaN}'), ""),
        (Patch(PatchFormat.MERGE_PATCH, b'{"services": {}, "services": {}}'), ""),
        (Patch(PatchFormat.MERGE_PATCH, b'{"a": "\\ud800"}'), ""),
        (Patch(PatchFormat.MERGE_PATCH, b"[" * 100_000), ""),
        (Patch(PatchFormat.MERGE_PATCH, b'"' + b"x" * 300_000 + b'"'), ""),
        (make_json_patch({"op": "test", "path": "/services", "value": {}}), "/0"),
        (make_json_patch({"op": "remove", "path": "/services/none"}), "/0"),
        (
            make_json_patch({"op": "add", "path": "/services/ordering/addresses/x", "value": 1}),
            "/0",
        ),
        (make_json_patch({"op": "eval", "path": ""}), "/0"),
        (make_json_patch({"op": "move", "path": "/services"}), "/0"),
        (make_json_patch(*DOUBLING_OPERATIONS), ""),
    ],
)
def test_error_has_path_value_and_allowed_values(patch, path):
    result = apply_patch(BASE, patch)
    assert isinstance(result, InvalidPatch)
    assert [error.path for error in result.errors] == [path]
    assert result.errors[0].got
    assert result.errors[0].allowed


def test_all_errors_are_reported_at_once():
    result = apply_patch(
        BASE, patch_ordering(limits={"slots": 0, "queue_length": -1}, retry_budget=2)
    )
    assert isinstance(result, InvalidPatch)
    assert len(result.errors) == 3
