"""Entries that another program wrote by mistake: refused by a reason that names the field.

Report: another writer left one odd entry among those of the upstreams, very deeply nested, with a
number too large, or with a port out of range. The machines that read the list ended again and
again, or stopped following it.
"""

import json

import pytest

from chicorypost.announcements import Announcement
from chicorypost.base import InstanceId
from chicorypost.platform import (
    InvalidAnnouncement,
    InvalidNodeSettings,
    NodeSettings,
    read_announcement,
    read_configuration,
    read_leave_notice,
    read_node_settings,
)
from chicorypost.platform._json import MAX_NESTING
from chicorypost.platform.tests.test_readers import (
    ANNOUNCEMENT,
    CONFIGURATION,
    NOW_MS,
    SETTINGS,
)
from chicorypost.routing import InvalidRouting, RoutingDocument

DAY_MS = 86_400_000
BROKEN_VALUES = {
    "deep": b"[" * 100_000 + b"]" * 100_000,
    "deep and cut off": b'{"a":' * 100_000,
    "deep, but not for the decoder": b"[" * 200 + b"]" * 200,
    "no UTF-8": b'"a\xff"',
    "no JSON": b"NaN",
    "number of no double": b"1e400",
    "number of 5,000 digits": b"9" * 5_000,
    "half of a character": b'"\\ud800"',
    "cut off": b'"a',
}
BROKEN = pytest.mark.parametrize("value", BROKEN_VALUES.values(), ids=BROKEN_VALUES)


def with_field(base, field, value):
    """Return the text of an object with one field whose text is given."""
    rest = json.dumps({key: item for key, item in base.items() if key != field}).encode()
    return rest[:-1] + b', "' + field.encode() + b'": ' + value + b"}"


@BROKEN
@pytest.mark.parametrize("field", ["service", "born", "a_later_field"])
def test_announcement_with_an_unreadable_value_names_the_field(field, value):
    read = read_announcement("i-1", with_field(ANNOUNCEMENT, field, value), NOW_MS)
    assert isinstance(read, InvalidAnnouncement)
    assert field in read.detail


@BROKEN
def test_leave_notice_with_an_unreadable_value_names_the_field(value):
    read = read_leave_notice("i-1", with_field({"seq": 3}, "a_later_field", value), NOW_MS)
    assert isinstance(read, InvalidAnnouncement)
    assert "a_later_field" in read.detail


@BROKEN
@pytest.mark.parametrize("field", ["version", "limits", "a_later_field"])
def test_configuration_with_an_unreadable_value_names_the_field(field, value):
    """A configuration that no strict reader takes was acknowledged and in force."""
    read = read_configuration(with_field(CONFIGURATION, field, value))
    assert isinstance(read, InvalidRouting)
    assert field in read.detail


@BROKEN
def test_configuration_with_an_unreadable_value_of_an_unused_field_is_refused(value):
    service = with_field(CONFIGURATION["services"][0], "protocol", value)
    services = b"[" + service + b"]"
    read = read_configuration(with_field(CONFIGURATION, "services", services))
    assert isinstance(read, InvalidRouting)
    assert "services" in read.detail


@pytest.mark.parametrize("field", ["warmup_s", "warmup_per_s"])
@pytest.mark.parametrize("value", [-1, -0.5, "2", None, True, [], 1e300])
def test_configuration_with_an_impossible_warmup_is_refused_with_the_field(field, value):
    service = CONFIGURATION["services"][0] | {field: value}
    services = [service, *CONFIGURATION["services"][1:]]
    read = read_configuration(json.dumps(CONFIGURATION | {"services": services}).encode())
    assert isinstance(read, InvalidRouting)
    assert field in read.detail


@BROKEN
@pytest.mark.parametrize("field", ["seeds", "a_later_field"])
def test_settings_with_an_unreadable_value_name_the_field(field, value):
    read = read_node_settings(with_field(SETTINGS, field, value))
    assert isinstance(read, InvalidNodeSettings)
    assert field in read.detail


@pytest.mark.parametrize("levels", [MAX_NESTING - 1, MAX_NESTING])
def test_the_nesting_that_is_allowed_does_not_depend_on_the_reader(levels):
    """Read by one process and not by the next, a configuration would be in force on some."""
    value = b"[" * levels + b"]" * levels
    is_allowed = levels < MAX_NESTING
    announcement = read_announcement("i-1", with_field(ANNOUNCEMENT, "later", value), NOW_MS)
    configuration = read_configuration(with_field(CONFIGURATION, "later", value))
    assert isinstance(announcement, Announcement) == is_allowed
    assert isinstance(configuration, RoutingDocument) == is_allowed
    assert isinstance(read_node_settings(with_field(SETTINGS, "later", value)), NodeSettings) == (
        is_allowed
    )


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("version", None),
        ("version", 7),
        ("version", ""),
        ("version", "v" * 300),
        ("warmup_left_ms", None),
        ("warmup_left_ms", -1),
        ("warmup_left_ms", DAY_MS + 1),
        ("warmup_left_ms", "0"),
        ("state", "resting"),
        ("state", ["ready"]),
        ("max_concurrency", 0),
        ("max_concurrency", 10**30),
        ("max_concurrency", 1e30),
        ("seq", -1),
        ("seq", 2**32),
        ("born", NOW_MS + DAY_MS + 1),
        ("born", 10**300),
        ("born", NOW_MS * 1_000),
        ("address", "10.128.0.9:99999"),
        ("address", "10.128.0.9:65536"),
        ("address", "10.128.0.9:-1"),
        ("address", "10.128.0.9:080"),
        ("address", "010.128.0.9:80"),
        ("address", "0.0.0.0:80"),
        ("address", "224.0.0.1:80"),
        ("address", "255.255.255.255:80"),
        ("address", "[::1]:80"),
        ("address", {"host": "10.128.0.9", "port": 80}),
        ("zone", ""),
        ("service", {}),
    ],
)
def test_announcement_with_a_value_out_of_range_names_the_field(field, value):
    body = json.dumps(ANNOUNCEMENT | {field: value}).encode()
    read = read_announcement("i-1", body, NOW_MS)
    assert isinstance(read, InvalidAnnouncement)
    assert f"{field}`" in read.detail


@pytest.mark.parametrize(
    ("field", "value"),
    [("born", NOW_MS + DAY_MS + 1), ("born", 2**70), ("seq", 2**32), ("seq", "1")],
)
def test_leave_notice_with_a_value_out_of_range_names_the_field(field, value):
    """A start in the far future put the upstream behind all that it said later."""
    read = read_leave_notice("i-1", json.dumps({field: value}).encode(), NOW_MS)
    assert isinstance(read, InvalidAnnouncement)
    assert f"{field}`" in read.detail


@pytest.mark.parametrize("body", [b"[]", b"7", b"null", b'"a"', b"{", b"\x00", b'{"a" 1}'])
def test_body_that_is_no_object_is_refused(body):
    assert isinstance(read_announcement("i-1", body, NOW_MS), InvalidAnnouncement)
    assert isinstance(read_leave_notice("i-1", body, NOW_MS), InvalidAnnouncement)
    assert isinstance(read_configuration(body), InvalidRouting)
    assert isinstance(read_node_settings(body), InvalidNodeSettings)


def test_leave_notice_of_an_id_without_a_token_is_refused():
    assert isinstance(read_leave_notice("xyz", b"", NOW_MS), InvalidAnnouncement)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("ip", "10.1.0.999"),
        ("ip", "host"),
        ("internal_ports", [99_999, 100_000]),
        ("internal_ports", [-1, 10]),
        ("internal_ports", [7720]),
        ("heartbeat_interval_ms", 0),
        ("heartbeat_interval_ms", -770),
        ("heartbeat_interval_ms", 10**400),
        ("listen.datagram_addr", "10.1.0.10:99999"),
        ("listen.control", "10.1.0.10"),
        ("fault_tolerance.machines", -1),
        ("fault_tolerance.machines", 10**9),
        ("limits.link_mbps", -1),
        ("limits.max_fds", 0),
        ("bounds.grace_s", -1),
        ("zone", ""),
        ("seeds", "10.1.0.13:8166"),
    ],
)
def test_settings_with_a_value_out_of_range_name_the_field(field, value):
    section, _, name = field.rpartition(".")
    base = dict(SETTINGS.get(section) or {}) if section else {}
    changes = {section: base | {name: value}} if section else {name: value}
    read = read_node_settings(json.dumps(SETTINGS | changes).encode())
    assert isinstance(read, InvalidNodeSettings)
    assert name in read.detail


def test_odd_entries_among_the_seeds_leave_the_others_in_use():
    """A port out of range ended the process that tried to connect to it."""
    odd = ["10.1.0.14:99999", "10.1.0.14", "", 7, None, {"a": [1]}, "10.1.0.14:8166\n", "x" * 9_999]
    seeds = ["10.1.0.13:8166", *odd, "10.1.0.15:8166"]
    read = read_node_settings(json.dumps(SETTINGS | {"seeds": seeds}).encode())
    assert isinstance(read, NodeSettings)
    assert read.seeds == (InstanceId("10.1.0.13:8166"), InstanceId("10.1.0.15:8166"))
    assert len(read.ignored_seeds) == len(odd)
    assert max(map(len, read.ignored_seeds)) <= 60
