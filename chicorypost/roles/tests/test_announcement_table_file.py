"""The file of the announcement table: what is reported as saved is on disk."""

import errno
from pathlib import Path

import pytest
import trio
import trio.testing

from chicorypost.announcements import ListedUpstream
from chicorypost.announcements.tests.test_table import ORDERS, announce
from chicorypost.roles import _announcement_table_file as module
from chicorypost.roles._announcement_table_file import AnnouncementTableFile

SAVE_TIMEOUT_SECONDS = 5.0


class TableOwner:
    """Owner of a table file: holds the table and records saves and log events."""

    def __init__(self, folder: Path) -> None:
        self.listed: tuple[ListedUpstream, ...] = ()
        self.saved_numbers: list[int] = []
        self.was_saved = trio.Event()
        self.log: list[str] = []
        self.file = AnnouncementTableFile(
            folder / "announcements", lambda: self.listed, self.record_save, self.record_event
        )

    def record_save(self, number):
        self.saved_numbers.append(number)
        self.was_saved.set()
        self.was_saved = trio.Event()

    def record_event(self, event):
        self.log.append(event.spec.name)

    def list_sequence(self, sequence):
        self.listed = (ListedUpstream(announce(ORDERS, sequence=sequence), False, 0),)

    async def wait_for_save(self, number):
        with trio.fail_after(SAVE_TIMEOUT_SECONDS):
            while number not in self.saved_numbers:
                await self.was_saved.wait()


@pytest.fixture
def owner(tmp_path):
    return TableOwner(tmp_path)


def run_with_file(owner, steps):
    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(owner.file.run)
            await steps()
            nursery.cancel_scope.cancel()

    trio.run(main)


def load_sequence(owner):
    return [item.announcement.sequence for item in owner.file.load_table()]


def test_a_reported_save_holds_the_latest_table(owner):
    async def steps():
        owner.list_sequence(1)
        owner.file.schedule_save(1)
        owner.list_sequence(2)
        owner.file.schedule_save(2)
        await owner.wait_for_save(2)

    run_with_file(owner, steps)
    assert load_sequence(owner) == [2]


@pytest.mark.parametrize("operation", ["fsync", "replace"])
def test_a_disk_that_refuses_reports_no_save_until_it_accepts_again(owner, monkeypatch, operation):
    """A drain must not be acknowledged as durable by a disk that was full."""
    is_full = True
    original = getattr(module.os, operation)

    def fail_while_full(*arguments):
        if is_full:
            raise OSError(errno.ENOSPC, "disk full")
        return original(*arguments)

    monkeypatch.setattr(module.os, operation, fail_while_full)
    monkeypatch.setattr(module, "SAVE_RETRY_SECONDS", 0.02)

    async def steps():
        nonlocal is_full
        owner.list_sequence(1)
        owner.file.schedule_save(1)
        # On a busy machine the thread that saves may start late.
        with trio.fail_after(SAVE_TIMEOUT_SECONDS):
            while not owner.log:
                await trio.sleep(0.01)
        await trio.sleep(0.2)
        assert owner.saved_numbers == [] and load_sequence(owner) == []
        is_full = False
        # No further change is needed: the table is saved once the disk accepts it.
        await owner.wait_for_save(1)

    run_with_file(owner, steps)
    assert load_sequence(owner) == [1]
    assert owner.log == ["announcements-not-saved"]


def test_a_change_during_a_save_is_not_reported_with_it(owner, monkeypatch):
    replace_file = owner.file._replace_file
    started, release = trio.Event(), trio.Event()

    def wait_then_replace(data):
        trio.from_thread.run_sync(started.set)
        trio.from_thread.run(release.wait)
        return replace_file(data)

    monkeypatch.setattr(owner.file, "_replace_file", wait_then_replace)

    async def steps():
        owner.list_sequence(1)
        owner.file.schedule_save(1)
        await started.wait()
        owner.list_sequence(2)
        owner.file.schedule_save(2)
        release.set()
        await owner.wait_for_save(1)
        assert owner.saved_numbers == [1] and load_sequence(owner) == [1]
        await owner.wait_for_save(2)

    run_with_file(owner, steps)
    assert load_sequence(owner) == [2]


@pytest.mark.parametrize("content", [b"", b"\xff" * 40, b"\x93\x01\x02"])
def test_a_damaged_file_counts_as_an_empty_table(owner, content):
    owner.file.path.write_bytes(content)
    assert owner.file.load_table() == ()
    assert owner.log == ["announcements-not-saved"]


def test_a_missing_file_is_an_empty_table(owner):
    assert owner.file.load_table() == ()
    assert owner.log == []
