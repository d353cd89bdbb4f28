"""Decoders of external input: documented examples, invalid input and random bytes."""

import json
import struct
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorypost.announcements import (
    AnnouncedStatus,
    Announcement,
    AnnouncementTableReply,
    LeaveNotice,
    ListedUpstream,
)
from chicorypost.base import Endpoint, UpstreamId, Version, encode
from chicorypost.cookies import BalancingSettings, ColdStartLimits, CookiePacket
from chicorypost.platform import (
    InvalidAnnouncement,
    InvalidNodeSettings,
    InvalidPacket,
    NodeSettings,
    format_flow,
    format_virtual_address,
    make_reset_packet,
    read_announcement,
    read_configuration,
    read_endpoint,
    read_leave_notice,
    read_node_settings,
    read_packet,
    read_request_id,
    wrap_packet,
)
from chicorypost.platform._announcements import read_upstream_token
from chicorypost.platform._packets import make_address
from chicorypost.routing import InvalidRouting, Retryability, RoutingDocument

SYN = bytes.fromhex("a1b2c3d500001122334400000000200" "09c4101bbc6120001" "6440000700000000")
RESET = bytes.fromhex("00000000000000000000000000001000" "01bb9c4164400007c612000100000000")

NAME = UpstreamId("i-1")
NOW_MS = 1_700_000_000_000
ANNOUNCEMENT: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "mu-north-a",
    "version": "v1",
    "max_concurrency": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path_prefix": "/8080/",
            "route_type": "unsafe",
            "timeout_ms": 1507,
            "target_latency_ms": 150,
            "priority": 1,
            "service": "huvo11a",
            "max_attempts": 2,
        },
        {
            "name": "r-2",
            "host": "198.18.0.1",
            "path_prefix": "/8443/",
            "route_type": "safe",
            "timeout_ms": 1207,
            "split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
        },
    ],
    "services": [
        {"name": "huvo11a", "health_path": "/health", "max_conns": 4222, "protocol": "h1"},
        {"name": "wuno96b", "health_path": "/health", "max_conns": 4222, "protocol": "h1"},
    ],
    "limits": {"idle_timeout_ms": 15000},
}

ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=8,
)


def encode_changed(base, **fields):
    return json.dumps({**base, **fields}).encode()


def encode_with_route(**fields):
    return encode_changed(CONFIGURATION, routes=[{**CONFIGURATION["routes"][0], **fields}])


def test_opening_packet_of_the_documentation():
    packet = read_packet(SYN)
    assert isinstance(packet, CookiePacket)
    assert packet.opens_flow and not packet.ends_flow and packet.cookie == 0
    assert packet.address == make_address("198.18.0.1", 443)


def test_reset_packet_of_the_documentation():
    assert make_reset_packet(SYN) == ("100.64.0.7", RESET)


def test_reset_of_an_open_flow_has_the_acknowledgement_number_of_the_client():
    open_packet = SYN[:10] + struct.pack(">IB", 77, 8) + SYN[15:]
    assert make_reset_packet(open_packet)[1][6:10] == struct.pack(">I", 77)


def test_wrapping_changes_nothing_but_the_cookie():
    wrapped = wrap_packet(SYN + b"data", 0x7F3A91C2, 5)
    assert wrapped[:8] == bytes.fromhex("000000007f3a91c2")
    assert wrapped[8:] == SYN[:28] + bytes([0, 0, 0, 5]) + b"data"
    assert wrap_packet(SYN, 0, None) == bytes(8) + SYN


REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: 5f61f0027fba0a8d\r\nAccept: b\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "request_id"),
    [
        (REQUEST, "5f61f0027fba0a8d"),
        (REQUEST.replace(b"GET", b"POST"), "5f61f0027fba0a8d"),
        (REQUEST.replace(b"GET", b"\x00\x00\x00"), ""),
        (REQUEST.replace(b"X-Request-Id", b"X-Other"), ""),
        (REQUEST[: REQUEST.index(b"0a8d")], ""),
        (b"", ""),
    ],
)
def test_the_id_of_a_request_is_read_from_its_first_packet(data, request_id):
    assert read_request_id(SYN + data) == request_id


def test_flows_and_addresses_are_formatted_in_dotted_notation():
    assert format_flow(SYN) == "100.64.0.7:40001"
    assert format_virtual_address(SYN) == "198.18.0.1:443"


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", InvalidPacket.TOO_SHORT),
        (SYN[:31], InvalidPacket.TOO_SHORT),
        (SYN + b"x", InvalidPacket.WRONG_LENGTH),
        (SYN[:4] + b"\x00\x05" + SYN[6:], InvalidPacket.WRONG_LENGTH),
        (SYN[:4] + struct.pack(">H", 1201) + SYN[6:] + bytes(1201), InvalidPacket.WRONG_LENGTH),
        (SYN[:14] + bytes([32 + 8]) + SYN[15:], InvalidPacket.WRONG_FLAGS),
        (SYN[:14] + bytes([64]) + SYN[15:], InvalidPacket.WRONG_FLAGS),
    ],
)
def test_invalid_packet_is_rejected(data, reason):
    assert read_packet(data) is reason


@given(st.binary(max_size=80))
def test_any_bytes_are_a_packet_or_an_invalid_packet(data):
    packet = read_packet(data)
    if isinstance(packet, CookiePacket):
        assert len(wrap_packet(data, 1, 2)) == len(data) + 8
        assert len(make_reset_packet(data)[1]) == 32


def test_announcement_of_the_documentation():
    announcement = read_announcement("i-7f3a91c2", json.dumps(ANNOUNCEMENT).encode(), NOW_MS)
    assert isinstance(announcement, Announcement)
    assert announcement.endpoint == Endpoint("10.128.0.9", 8080)
    assert announcement.token == 0x7F3A91C2
    assert (announcement.status, announcement.slots) == (AnnouncedStatus.READY, 2)


@pytest.mark.parametrize("field", sorted(ANNOUNCEMENT))
def test_missing_field_is_invalid(field):
    body = json.dumps({key: value for key, value in ANNOUNCEMENT.items() if key != field}).encode()
    assert isinstance(read_announcement("i-1", body, NOW_MS), InvalidAnnouncement)


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "resting"},
        {"state": 4},
        {"max_concurrency": 0},
        {"max_concurrency": "2"},
        {"seq": -1},
        {"seq": 1.5},
        {"seq": True},
        {"born": "1700000000000"},
        {"born": 1.5},
        {"address": "10.128.0.9"},
        {"address": "10.128.0.900:80"},
        {"address": "example.org:80"},
        {"address": "10.128.0.9:0"},
        {"service": ""},
        {"service": None},
    ],
)
def test_field_of_wrong_type_or_range_is_invalid(fields):
    assert isinstance(
        read_announcement("i-1", encode_changed(ANNOUNCEMENT, **fields), NOW_MS),
        InvalidAnnouncement,
    )


@pytest.mark.parametrize("name", ["", "xyz", "i-0", "i-" + "f" * 17])
def test_name_without_a_token_is_invalid(name):
    assert isinstance(
        read_announcement(name, json.dumps(ANNOUNCEMENT).encode(), NOW_MS), InvalidAnnouncement
    )


def test_tokens_are_the_hex_digits_of_the_name():
    assert read_upstream_token("i-7f3a91c2") == 0x7F3A91C2


def test_leave_notice_may_be_empty():
    assert read_leave_notice("i-1", b"", NOW_MS) == LeaveNotice(NAME, None, None)
    assert read_leave_notice("i-1", b'{"seq": 4, "born": 9}', NOW_MS) == LeaveNotice(NAME, 9, 4)
    assert isinstance(read_leave_notice("i-1", b"{", NOW_MS), InvalidAnnouncement)


@pytest.mark.parametrize(
    "fields",
    [
        {"seq": 2**64},
        {"born": 2**70},
        {"warmup_left_ms": 1e300},
        {"service": "x" * 300},
        {"zone": "x" * 300},
    ],
)
def test_number_or_name_that_no_message_can_carry_is_invalid(fields):
    """A control instance ended when it sent such an announcement on to its peers."""
    body = encode_changed(ANNOUNCEMENT, **fields)
    assert isinstance(read_announcement("i-1", body, NOW_MS), InvalidAnnouncement)
    if "seq" in fields or "born" in fields:
        assert isinstance(read_leave_notice("i-1", body, NOW_MS), InvalidAnnouncement)


@given(st.sampled_from(["seq", "born", "max_concurrency", "warmup_left_ms"]), st.integers())
def test_every_announcement_can_be_sent_to_other_instances(field, value):
    read = read_announcement("i-1", encode_changed(ANNOUNCEMENT, **{field: value}), NOW_MS)
    if isinstance(read, Announcement):
        encode(AnnouncementTableReply(True, (ListedUpstream(read, False, 0),)))


@given(st.binary(max_size=60) | ANY_JSON.map(lambda value: json.dumps(value).encode()))
def test_any_body_is_an_announcement_or_invalid(body):
    assert isinstance(read_announcement("i-1", body, NOW_MS), Announcement | InvalidAnnouncement)
    assert isinstance(read_leave_notice("i-1", body, NOW_MS), LeaveNotice | InvalidAnnouncement)


@given(st.sampled_from(sorted(ANNOUNCEMENT)), ANY_JSON)
def test_any_value_of_an_announcement_field_decodes_without_an_exception(field, value):
    read = read_announcement("i-1", encode_changed(ANNOUNCEMENT, **{field: value}), NOW_MS)
    assert isinstance(read, Announcement | InvalidAnnouncement)


def test_configuration_of_the_documentation():
    document = read_configuration(json.dumps(CONFIGURATION).encode())
    assert isinstance(document, RoutingDocument)
    assert document.version == Version(7) and document.idle_seconds == 15.0
    assert document.routes[0].retryability is Retryability.NON_IDEMPOTENT
    assert [target.weight for target in document.routes[1].targets] == [90, 10]


def test_warmup_of_a_service_is_read():
    first, second = CONFIGURATION["services"]
    services = [first | {"warmup_s": 2, "warmup_per_s": 0.5}, second | {"warmup_s": 0}]
    document = read_configuration(encode_changed(CONFIGURATION, services=services))
    assert isinstance(document, RoutingDocument)
    read = [(spec.warmup_seconds, spec.warmup_flows_per_second) for spec in document.services]
    assert read == [(2.0, 0.5), (0.0, 0.0)]


@pytest.mark.parametrize(
    ("route_type", "retryability"),
    [
        ("safe", Retryability.IDEMPOTENT),
        ("download", Retryability.IDEMPOTENT),
        ("unsafe", Retryability.NON_IDEMPOTENT),
        ("upload", Retryability.UPLOAD),
        ("a kind of a later deployment", Retryability.NON_IDEMPOTENT),
    ],
)
def test_only_safe_and_download_routes_may_be_repeated(route_type, retryability):
    """A deployment with a kind that the adapter didn't list had every configuration refused."""
    document = read_configuration(encode_with_route(route_type=route_type))
    assert isinstance(document, RoutingDocument)
    assert document.routes[0].retryability is retryability


@pytest.mark.parametrize(
    "body",
    [
        json.dumps(CONFIGURATION).encode()[:-20],
        b"",
        b"[]",
        encode_changed(CONFIGURATION, version=0),
        encode_changed(CONFIGURATION, version="7"),
        encode_changed(CONFIGURATION, version=7.5),
        encode_changed(CONFIGURATION, routes=[CONFIGURATION["routes"][0]] * 2),
        encode_changed(CONFIGURATION, services=[]),
        encode_changed(CONFIGURATION, services=[CONFIGURATION["services"][0]] * 2),
        encode_with_route(service="unknown"),
        encode_with_route(timeout_ms=0),
        encode_with_route(timeout_ms=-5),
        encode_with_route(timeout_ms=2**70),
        encode_changed(CONFIGURATION, version=2**70),
        encode_changed(CONFIGURATION, limits={"idle_timeout_ms": 10**400}),
        encode_with_route(route_type=None),
        encode_with_route(route_type=7),
        encode_with_route(host="example"),
        encode_with_route(path_prefix="/x/"),
        encode_with_route(service=None),
        encode_with_route(split=[]),
        encode_with_route(split=[{"service": "huvo11a", "weight": 0}]),
        encode_with_route(split=[{"service": "huvo11a", "weight": -1}]),
        encode_with_route(split=[{"service": "unknown", "weight": 1}]),
    ],
)
def test_invalid_configuration_is_rejected(body):
    assert isinstance(read_configuration(body), InvalidRouting)


@settings(max_examples=60)
@given(st.integers(min_value=0, max_value=len(json.dumps(CONFIGURATION)) - 1))
def test_truncated_configuration_is_invalid(size):
    assert isinstance(read_configuration(json.dumps(CONFIGURATION).encode()[:size]), InvalidRouting)


@given(st.binary(max_size=60) | ANY_JSON.map(lambda value: json.dumps(value).encode()))
def test_any_body_is_a_configuration_or_invalid(body):
    assert isinstance(read_configuration(body), RoutingDocument | InvalidRouting)


@given(st.sampled_from(sorted(CONFIGURATION["routes"][0])), ANY_JSON)
def test_any_value_of_a_route_field_decodes_without_an_exception(field, value):
    read = read_configuration(encode_with_route(**{field: value}))
    assert isinstance(read, RoutingDocument | InvalidRouting)


SETTINGS: dict[str, Any] = {
    "node_name": "edge-1",
    "ip": "10.1.0.10",
    "zone": "a",
    "listen": {"datagram_addr": "10.1.0.10:8172", "readiness_addr": "10.1.0.10:8167"},
    "internal_ports": [7720, 7735],
    "seeds": ["10.1.0.13:8166"],
    "bootstrap": True,
    "data_dir": None,
    "heartbeat_interval_ms": 770,
    "fault_tolerance": {"machines": 2},
    "unknown": {"new": 1},
}


def test_settings_of_a_process_are_decoded():
    node = read_node_settings(json.dumps(SETTINGS).encode())
    assert isinstance(node, NodeSettings)
    assert node.packets == Endpoint("10.1.0.10", 8172) and node.control is None
    assert (node.lost_disks, node.announcement_seconds, node.founds) == (2, 0.77, True)


def test_features_are_off_unless_the_settings_file_enables_them():
    """Guards against features that change how a deployment is served that doesn't ask for them."""
    node = read_node_settings(json.dumps(SETTINGS).encode())
    assert isinstance(node, NodeSettings)
    assert node.balancing == BalancingSettings()
    assert node.cold_start_limits is None


def test_an_extended_settings_file_holds_the_fields_of_the_platform_and_the_features():
    """Guards against a file with features whose other fields are read from the wrong level."""
    bounds = {"grace_s": 6, "warmup_overage": 1.5, "warmup_slack": 5}
    platform = SETTINGS | {"bounds": bounds, "zones": {"north-a": "tn", "north-b": "tn"}}
    content = {"node": platform, "balancing": {"repeat_share": 0.02}}
    node = read_node_settings(json.dumps(content).encode())
    assert isinstance(node, NodeSettings)
    assert node.balancing == BalancingSettings(repeat_share=0.02)
    assert node.cold_start_limits == ColdStartLimits(rate_factor=1.5, extra_flows=5.0)
    assert node.data_centres == {"north-a", "north-b"}


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("repeat_share", 0.3),
        ("repeat_after_ms", 0),
        ("shared_observations", 1),
        ("repeat_shares", 0.1),
    ],
)
def test_an_invalid_feature_is_refused_by_its_name(name, value):
    """Guards against a misspelt or impossible feature that is ignored without a word."""
    read = read_node_settings(json.dumps({"node": SETTINGS, "balancing": {name: value}}).encode())
    assert isinstance(read, InvalidNodeSettings)
    assert name in read.detail


def test_settings_of_another_deployment_are_decoded():
    """Fields that don't apply are null or missing, and figures may have fractions."""
    listen = {"control": "10.1.0.13:8166", "datagram_addr": None, "readiness_addr": None}
    changes = {
        "listen": listen,
        "seeds": [],
        "heartbeat_interval_ms": 512.5,
        "limits": {"link_mbps": None, "max_fds": 4096, "cpu_cores": None},
        "bounds": {"grace_s": 2.5, "flag": True},
    }
    node = read_node_settings(encode_changed(SETTINGS, **changes))
    assert isinstance(node, NodeSettings)
    assert node.packets is None and node.control == Endpoint("10.1.0.13", 8166)
    assert (node.link_bytes_per_second, node.max_descriptors) == (None, 4096)
    assert (node.announcement_seconds, node.stop_seconds, node.seeds) == (0.5125, 2.5, ())


@given(st.binary(max_size=40) | ANY_JSON.map(lambda value: json.dumps(value).encode()))
def test_any_file_is_settings_or_invalid(data):
    assert isinstance(read_node_settings(data), NodeSettings | InvalidNodeSettings)


def test_settings_with_a_number_out_of_range_are_invalid():
    body = encode_changed(SETTINGS, heartbeat_interval_ms=10**400)
    assert isinstance(read_node_settings(body), InvalidNodeSettings)


@given(st.sampled_from(sorted(SETTINGS)), ANY_JSON)
def test_any_value_of_a_setting_decodes_without_an_exception(field, value):
    read = read_node_settings(encode_changed(SETTINGS, **{field: value}))
    assert isinstance(read, NodeSettings | InvalidNodeSettings)


@pytest.mark.parametrize("text", ["", ":1", "1.2.3:4", "1.2.3.4", "1.2.3.4:99999", "1.2.3.+4:5"])
def test_invalid_endpoint_is_rejected(text):
    with pytest.raises(ValueError, match="not an IPv4 address"):
        read_endpoint(text)
