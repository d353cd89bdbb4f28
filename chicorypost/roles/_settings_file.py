"""The settings file of a role, read again whenever it has changed."""

import signal
from collections.abc import AsyncIterator, Callable

import trio

from chicorypost.events import Emit
from chicorypost.platform import InvalidNodeSettings, NodeSettings, load_node_settings
from chicorypost.roles._events import SETTINGS_CHANGED, SETTINGS_REFUSED

POLL_INTERVAL_SECONDS = 1.0
"""How often the file is looked at; it may change without a signal."""


async def watch_settings(
    settings: NodeSettings,
    changed: Callable[[NodeSettings], None],
    emit: Callable[[Emit], None],
) -> None:
    """Call `changed` with the new settings whenever the content of the file has changed.

    The file is looked at on SIGHUP and from time to time.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as hangups:
        await _watch(settings, changed, emit, hangups)


async def _watch(
    settings: NodeSettings,
    changed: Callable[[NodeSettings], None],
    emit: Callable[[Emit], None],
    hangups: AsyncIterator[int],
) -> None:
    refused = ""
    while True:
        with trio.move_on_after(POLL_INTERVAL_SECONDS):
            await anext(hangups)
        found = load_node_settings()
        if isinstance(found, InvalidNodeSettings):
            if found.detail != refused:
                emit(SETTINGS_REFUSED.emit(reason=found.detail))
            refused = found.detail
        elif found != settings:
            settings, refused = found, ""
            emit(SETTINGS_CHANGED.emit(seeds=" ".join(settings.seeds)))
            changed(settings)
