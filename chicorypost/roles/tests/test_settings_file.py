"""A changed settings file is read with and without SIGHUP; an invalid file changes nothing."""

import json
import os
import signal
from typing import Any

import pytest
import trio
import trio.testing

from chicorypost.platform import (
    SETTINGS_VARIABLE,
    InvalidNodeSettings,
    NodeSettings,
    load_node_settings,
)
from chicorypost.platform.tests.test_readers import SETTINGS
from chicorypost.roles._settings_file import POLL_INTERVAL_SECONDS, watch_settings
from chicorypost.roles._start import USAGE_EXIT_STATUS, main


@pytest.fixture
def file(tmp_path, monkeypatch):
    file = tmp_path / "node.json"
    file.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(file))
    return file


def watch(scenario):
    changes: list[Any] = []
    log: list[Any] = []

    async def run_scenario():
        settings = load_node_settings()
        assert isinstance(settings, NodeSettings)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_settings, settings, changes.append, log.append)
            await trio.testing.wait_all_tasks_blocked()
            await scenario()
            nursery.cancel_scope.cancel()

    trio.run(run_scenario, clock=trio.testing.MockClock(autojump_threshold=0.01))
    return [change.seeds for change in changes], [event.spec.name for event in log]


def with_seeds(*seeds):
    return json.dumps({**SETTINGS, "seeds": list(seeds)})


def test_change_without_a_signal_is_detected(file):
    async def scenario():
        file.write_text(with_seeds("10.9.9.9:1"))
        await trio.sleep(2 * POLL_INTERVAL_SECONDS)

    assert watch(scenario) == ([("10.9.9.9:1",)], ["settings-changed"])


def test_signal_applies_the_change_at_once_and_does_not_end_the_process(file):
    async def scenario():
        file.write_text(with_seeds("10.9.9.9:1"))
        os.kill(os.getpid(), signal.SIGHUP)
        await trio.sleep(POLL_INTERVAL_SECONDS / 2)

    assert watch(scenario) == ([("10.9.9.9:1",)], ["settings-changed"])


def test_invalid_file_is_logged_once_and_changes_nothing(file):
    async def scenario():
        file.write_text("{")
        await trio.sleep(4 * POLL_INTERVAL_SECONDS)
        file.write_text(with_seeds("10.9.9.9:1"))
        await trio.sleep(2 * POLL_INTERVAL_SECONDS)

    assert watch(scenario) == ([("10.9.9.9:1",)], ["settings-refused", "settings-changed"])


def test_odd_seeds_are_logged_and_the_others_used(file):
    async def scenario():
        file.write_text(with_seeds("10.9.9.9:1", "10.9.9.9:99999"))
        await trio.sleep(4 * POLL_INTERVAL_SECONDS)

    assert watch(scenario) == ([("10.9.9.9:1",)], ["settings-changed", "seeds-ignored"])


@pytest.mark.parametrize(
    "data", [b"[" * 100_000, b'{"a":' * 100_000, b"\xff", b'{"seeds": 1e400}'], ids=range(4)
)
def test_unreadable_file_does_not_end_the_process(file, data):
    async def scenario():
        file.write_bytes(data)
        await trio.sleep(2 * POLL_INTERVAL_SECONDS)

    assert watch(scenario) == ([], ["settings-refused"])


@pytest.mark.parametrize("role", ["balancer", "control"])
def test_role_without_its_addresses_says_which_it_needs(file, capsys, role):
    file.write_text(json.dumps(SETTINGS | {"listen": {}}))
    assert main([role]) == USAGE_EXIT_STATUS
    assert "this role needs" in capsys.readouterr().err


def test_missing_environment_variable_is_invalid(monkeypatch):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert isinstance(load_node_settings(), InvalidNodeSettings)
