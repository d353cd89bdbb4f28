"""Tests of the validation of settings files."""

import json

import pytest

from chicorypost.daemons import BalancerSettings, check_settings, load_settings, parse_endpoint

LISTENER_NAMES = ("control", "packets", "requests", "announcements", "admin")
VALID_SETTINGS = {
    "id": "balancer-1",
    "data_centre": "gent-1",
    "listen": dict.fromkeys(LISTENER_NAMES, "127.0.0.1:0"),
    "tls": {"off": True},
}


def change_setting(path, value):
    settings = json.loads(json.dumps(VALID_SETTINGS))
    *parents, last = path.split(".")
    target = settings
    for name in parents:
        target = target.setdefault(name, {})
    target[last] = value
    return settings


def test_valid_settings_are_accepted():
    assert isinstance(check_settings(VALID_SETTINGS, BalancerSettings), BalancerSettings)


@pytest.mark.parametrize(
    ("path", "value", "reported_path", "message"),
    [
        ("listen.control", "localhost", "listen.control", "allowed is host:port"),
        ("listen.control", "1.2.3.4:99999", "listen.control", "up to 65535"),
        ("liste", 1, "liste", "not a known setting"),
        ("id", "", "id", "at least 1 character"),
        ("tls", {}, "tls", "certificate, key and authority"),
        ("tls", {"off": True, "key": "x"}, "tls", "one or the other"),
        ("transport.silence_seconds", 0.6, "transport", "at least twice"),
        ("stop_seconds", -1, "stop_seconds", "greater than or equal to 0"),
        ("log.level", "loud", "log.level", "'debug', 'info', 'warning' or 'error'"),
        (
            "balancers",
            [{"id": "a", "data_centre": "g", "control": "h:1"}] * 2,
            "(whole file)",
            "appear twice",
        ),
    ],
)
def test_each_error_is_reported_with_its_path(path, value, reported_path, message):
    errors = check_settings(change_setting(path, value), BalancerSettings)
    assert isinstance(errors, list)
    assert [error.path for error in errors] == [reported_path]
    assert message in errors[0].problem


def test_all_errors_are_reported_at_once():
    settings = change_setting("id", 7)
    del settings["tls"]
    errors = check_settings(settings, BalancerSettings)
    assert isinstance(errors, list)
    assert {error.path for error in errors} == {"id", "tls"}


@pytest.mark.parametrize("text", ["", "{", "[1]", "null"])
def test_a_file_without_settings_is_refused(tmp_path, text):
    file = tmp_path / "settings.json"
    file.write_text(text)
    assert isinstance(load_settings(file, BalancerSettings), list)
    assert isinstance(load_settings(tmp_path / "missing", BalancerSettings), list)


def test_endpoints_may_be_ipv6():
    assert parse_endpoint("[::1]:80") == parse_endpoint("::1:80")
