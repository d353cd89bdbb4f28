"""Differences between configurations."""

from itertools import pairwise

import msgpack
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from chicorypost.base import Address, ServiceId, Version, hash64
from chicorypost.routing import (
    Retryability,
    Route,
    RoutingDocument,
    ServiceSpec,
    WeightedService,
    apply_change,
    compute_change,
    merge_changes,
)
from chicorypost.routing._change import compute_digest

SERVICES = [ServiceId("orders"), ServiceId("archive"), ServiceId("feed")]


def make_document(version, timeouts, connections, idle_seconds=15.0):
    """Return a configuration with one route for each address and one spec for each service."""
    routes = tuple(
        Route(
            f"r-{port}",
            Address(f"198.18.0.1:{port}"),
            (WeightedService(SERVICES[0], 1),),
            Retryability.IDEMPOTENT,
            timeout,
            100,
            1,
        )
        for port, timeout in timeouts.items()
    )
    services = tuple(ServiceSpec(name, "/health", count) for name, count in connections.items())
    return RoutingDocument(Version(version), routes, services, idle_seconds)


def content(document):
    """Return a configuration without the order of its routes and services."""
    return (
        document.version,
        {route.address: route for route in document.routes},
        {spec.service: spec for spec in document.services},
        document.idle_seconds,
    )


contents = st.tuples(
    st.dictionaries(st.integers(1, 6), st.integers(1, 3)),
    st.dictionaries(st.sampled_from(SERVICES), st.integers(1, 3)),
    st.sampled_from([15.0, 30.0]),
)


@given(st.lists(contents, min_size=2, max_size=6))
def test_changes_in_a_row_lead_to_the_newest_configuration(versions):
    documents = [make_document(number, *item) for number, item in enumerate(versions, start=1)]
    changes = [compute_change(old, new) for old, new in pairwise(documents)]
    applied = documents[0]
    for change in changes:
        applied = apply_change(applied, change)
        assert applied is not None
    merged = apply_change(documents[0], merge_changes(changes))
    assert content(applied) == content(merged) == content(documents[-1])


def test_a_change_from_another_version_is_not_applied():
    first, second, third = (make_document(n, {80: n}, {SERVICES[0]: 1}) for n in (1, 2, 3))
    assert apply_change(first, compute_change(second, third)) is None


def test_a_change_from_another_content_of_the_same_version_is_not_applied():
    """Two builds may read the bytes of an operator's configuration differently."""
    read_here = make_document(1, {80: 1, 81: 1}, {SERVICES[0]: 1})
    read_there = make_document(1, {80: 1}, {SERVICES[0]: 1})
    change = compute_change(read_there, make_document(2, {80: 2}, {SERVICES[0]: 1}))
    assert apply_change(read_here, change) is None


def encode_as_earlier_build(document):
    """Return the bytes that a build without warm-ups hashes for the digest."""
    routes = sorted(document.routes, key=lambda route: route.address)
    services = sorted(document.services, key=lambda spec: spec.service)
    return msgpack.packb(
        [
            document.version,
            [msgspec.to_builtins(route) for route in routes],
            [[spec.service, spec.health_path, spec.connections] for spec in services],
            document.idle_seconds,
        ]
    )


def test_earlier_builds_compute_the_same_digest_of_a_configuration_without_warmups():
    """Each change would have cost them the whole configuration during a rolling upgrade."""
    document = make_document(3, {80: 1, 81: 2}, {SERVICES[0]: 1, SERVICES[1]: 2})
    assert compute_digest(document) == hash64(encode_as_earlier_build(document))


def test_an_earlier_build_sees_that_it_cannot_apply_a_change_with_a_warmup():
    """It drops the fields, so its digest differs, and it fetches the whole configuration."""
    document = make_document(3, {80: 1}, {SERVICES[0]: 1})
    (spec,) = document.services
    warm = msgspec.structs.replace(spec, warmup_seconds=2.0)
    changed = msgspec.structs.replace(document, services=(warm,))
    assert compute_digest(changed) != hash64(encode_as_earlier_build(changed))
    before = make_document(2, {80: 1}, {SERVICES[0]: 1})
    change = compute_change(before, changed)
    assert change.services == (warm,)
    assert apply_change(before, change) == changed


def test_a_change_holds_only_what_differs():
    before = make_document(1, dict.fromkeys(range(1, 100), 5), {SERVICES[0]: 1, SERVICES[1]: 1})
    after = make_document(
        2, dict.fromkeys(range(2, 100), 5) | {50: 6}, {SERVICES[0]: 2, SERVICES[1]: 1}
    )
    change = compute_change(before, after)
    assert [route.address for route in change.routes] == ["198.18.0.1:50"]
    assert change.removed_routes == ("198.18.0.1:1",)
    assert [spec.service for spec in change.services] == [SERVICES[0]]
    assert change.removed_services == ()
