"""The settings file is read again on SIGHUP and without it, and a bad one changes nothing."""

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


@pytest.fixture
def file(tmp_path, monkeypatch):
    file = tmp_path / "node.json"
    file.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(file))
    return file


def watch(scenario):
    changes: list[Any] = []
    log: list[Any] = []

    async def main():
        settings = load_node_settings()
        assert isinstance(settings, NodeSettings)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_settings, settings, changes.append, log.append)
            await trio.testing.wait_all_tasks_blocked()
            await scenario()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))
    return [change.seeds for change in changes], [event.spec.name for event in log]


def with_seeds(*seeds):
    return json.dumps({**SETTINGS, "seeds": list(seeds)})


def test_a_change_without_a_signal_is_seen(file):
    async def scenario():
        file.write_text(with_seeds("10.9.9.9:1"))
        await trio.sleep(2 * POLL_INTERVAL_SECONDS)

    assert watch(scenario) == ([("10.9.9.9:1",)], ["settings-changed"])


def test_a_signal_brings_the_change_at_once_and_ends_nothing(file):
    async def scenario():
        file.write_text(with_seeds("10.9.9.9:1"))
        os.kill(os.getpid(), signal.SIGHUP)
        await trio.sleep(POLL_INTERVAL_SECONDS / 2)

    assert watch(scenario) == ([("10.9.9.9:1",)], ["settings-changed"])


def test_a_file_that_cannot_be_read_is_said_once_and_changes_nothing(file):
    async def scenario():
        file.write_text("{")
        await trio.sleep(4 * POLL_INTERVAL_SECONDS)
        file.write_text(with_seeds("10.9.9.9:1"))
        await trio.sleep(2 * POLL_INTERVAL_SECONDS)

    assert watch(scenario) == ([("10.9.9.9:1",)], ["settings-refused", "settings-changed"])


def test_a_missing_variable_is_a_mistake(monkeypatch):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert isinstance(load_node_settings(), InvalidNodeSettings)
