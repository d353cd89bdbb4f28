"""Watches the settings file of a role for changes."""

import signal
from collections.abc import AsyncIterator, Callable

import trio

from chicorypost.events import Emit
from chicorypost.platform import InvalidNodeSettings, NodeSettings, load_node_settings
from chicorypost.roles._events import SEEDS_IGNORED, SETTINGS_CHANGED, SETTINGS_REFUSED

POLL_INTERVAL_SECONDS = 1.0
"""Interval at which the file is read; it may change without a signal."""


async def watch_settings(
    settings: NodeSettings,
    on_change: Callable[[NodeSettings], None],
    emit: Callable[[Emit], None],
) -> None:
    """Call `on_change` with the new settings whenever the content of the file changes.

    The file is read on SIGHUP and every `POLL_INTERVAL_SECONDS`. An invalid file is logged once and
    changes nothing. Seeds that are no addresses are logged, also those in `settings`.
    """
    _report_ignored_seeds(settings, emit)
    with trio.open_signal_receiver(signal.SIGHUP) as hangups:
        await _watch(settings, on_change, emit, hangups)


async def _watch(
    settings: NodeSettings,
    on_change: Callable[[NodeSettings], None],
    emit: Callable[[Emit], None],
    hangups: AsyncIterator[int],
) -> None:
    last_error = ""
    while True:
        with trio.move_on_after(POLL_INTERVAL_SECONDS):
            await anext(hangups)
        loaded = load_node_settings()
        if isinstance(loaded, InvalidNodeSettings):
            if loaded.detail != last_error:
                emit(SETTINGS_REFUSED.emit(reason=loaded.detail))
            last_error = loaded.detail
            continue
        last_error = ""
        if loaded != settings:
            settings = loaded
            emit(SETTINGS_CHANGED.emit(seeds=" ".join(settings.seeds)))
            _report_ignored_seeds(settings, emit)
            on_change(settings)


def _report_ignored_seeds(settings: NodeSettings, emit: Callable[[Emit], None]) -> None:
    if settings.ignored_seeds:
        emit(SEEDS_IGNORED.emit(seeds=" ".join(settings.ignored_seeds)))
