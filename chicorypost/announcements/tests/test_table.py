"""Ordering of the calls of upstreams, and reuse of an address by another upstream."""

import msgspec
import pytest

from chicorypost.announcements import (
    AnnouncedStatus,
    Announcement,
    AnnouncementOutcome,
    AnnouncementTable,
    LeaveNotice,
)
from chicorypost.base import DataCentreId, Endpoint, Instant, ServiceId, UpstreamId

NOW = Instant(100.0)
ORDERS = UpstreamId("i-1")
ARCHIVE = UpstreamId("i-2")


def announce(
    upstream=ORDERS, started_at_ms=1000, sequence=1, host="10.0.0.1", status=AnnouncedStatus.READY
):
    return Announcement(
        upstream,
        started_at_ms,
        sequence,
        ServiceId("orders"),
        DataCentreId("a"),
        Endpoint(host, 80),
        1,
        2,
        status,
        0,
    )


@pytest.fixture
def table():
    table = AnnouncementTable()
    table.record_announcement(announce(sequence=5), NOW)
    return table


def status_of(table, upstream=ORDERS):
    return table.entries[upstream].announcement.status


def test_a_first_call_changes_the_table():
    assert AnnouncementTable().record_announcement(announce(), NOW) == (
        AnnouncementOutcome.ACCEPTED,
        [ORDERS],
    )


def test_a_call_with_the_same_state_is_no_change(table):
    assert table.record_announcement(announce(sequence=6), NOW) == (
        AnnouncementOutcome.ACCEPTED,
        [],
    )


def test_a_delayed_call_of_the_same_run_is_outdated(table):
    table.record_announcement(announce(sequence=7, status=AnnouncedStatus.DRAINING), NOW)
    assert table.record_announcement(announce(sequence=6), NOW) == (
        AnnouncementOutcome.OUTDATED,
        [],
    )
    assert status_of(table) is AnnouncedStatus.DRAINING


def test_a_later_run_with_a_lower_sequence_number_is_accepted(table):
    outcome, changed = table.record_announcement(announce(started_at_ms=2000, sequence=1), NOW)
    assert (outcome, changed) == (AnnouncementOutcome.ACCEPTED, [ORDERS])


def test_a_delayed_call_of_an_earlier_run_is_outdated(table):
    table.record_announcement(
        announce(started_at_ms=2000, sequence=1, status=AnnouncedStatus.DRAINING), NOW
    )
    assert (
        table.record_announcement(announce(started_at_ms=1000, sequence=9), NOW)[0]
        is AnnouncementOutcome.OUTDATED
    )
    assert status_of(table) is AnnouncedStatus.DRAINING


@pytest.mark.parametrize("started_at_ms", [3000, 500])
def test_an_upstream_that_names_the_address_of_another_one_ends_neither(table, started_at_ms):
    """The other one was gone for good by the word of a call that wasn't its own.

    An upstream that started earlier by its own clock than the one that had left its address was
    ignored for as long as that one was remembered.
    """
    outcome, changed = table.record_announcement(announce(ARCHIVE, started_at_ms), NOW)
    assert (outcome, changed) == (AnnouncementOutcome.ACCEPTED, [ARCHIVE])
    assert table.record_announcement(announce(sequence=9), NOW)[0] is AnnouncementOutcome.ACCEPTED
    assert status_of(table) is AnnouncedStatus.READY
    assert status_of(table, ARCHIVE) is AnnouncedStatus.READY


def test_a_leave_notice_ends_a_run_and_delayed_calls_do_not_revive_it(table):
    assert table.record_leave(LeaveNotice(ORDERS, 1000, None)) == (
        AnnouncementOutcome.ACCEPTED,
        [ORDERS],
    )
    assert table.record_announcement(announce(sequence=5), NOW)[0] is AnnouncementOutcome.OUTDATED
    assert table.record_announcement(announce(sequence=6), NOW)[0] is AnnouncementOutcome.OUTDATED
    assert status_of(table) is AnnouncedStatus.GONE


def test_a_leave_notice_without_its_run_ends_no_run_that_has_not_announced_a_drain(table):
    """A notice that was held up took the next run of its upstream out of use for good."""
    notice = LeaveNotice(ORDERS, None, None)
    assert table.record_leave(notice) == (AnnouncementOutcome.RUN_UNKNOWN, [])
    assert table.record_announcement(announce(sequence=6), NOW)[0] is AnnouncementOutcome.ACCEPTED
    assert status_of(table) is AnnouncedStatus.READY


def test_a_leave_notice_without_its_run_does_not_end_a_run_that_drains(table):
    """The notice may be that of an earlier run, and flows at a run that is gone are reset."""
    table.record_announcement(announce(sequence=6, status=AnnouncedStatus.DRAINING), NOW)
    notice = LeaveNotice(ORDERS, None, None)
    assert table.record_leave(notice) == (AnnouncementOutcome.ACCEPTED, [])
    assert status_of(table) is AnnouncedStatus.DRAINING


def test_a_leave_notice_without_its_run_is_acknowledged_again_once_the_run_is_gone(table):
    table.record_leave(LeaveNotice(ORDERS, 1000, None))
    notice = LeaveNotice(ORDERS, None, None)
    assert table.record_leave(notice) == (AnnouncementOutcome.ACCEPTED, [])
    assert status_of(table) is AnnouncedStatus.GONE


def test_a_leave_notice_of_a_run_that_never_announced_itself_blocks_no_later_call(table):
    """A notice with a start in the future sorted its upstream behind all of its later calls."""
    notice = LeaveNotice(ORDERS, 9_000, None)
    assert table.record_leave(notice) == (AnnouncementOutcome.RUN_UNKNOWN, [])
    later_run = announce(started_at_ms=2000, sequence=1)
    assert table.record_announcement(later_run, NOW)[0] is AnnouncementOutcome.ACCEPTED
    assert status_of(table) is AnnouncedStatus.READY


def test_a_delayed_leave_notice_of_an_earlier_run_is_outdated(table):
    table.record_announcement(announce(started_at_ms=2000), NOW)
    assert table.record_leave(LeaveNotice(ORDERS, 1000, 9)) == (AnnouncementOutcome.OUTDATED, [])
    assert status_of(table) is AnnouncedStatus.READY


def test_a_contact_that_reports_draining_reveals_a_missing_call(table):
    from chicorypost.announcements._messages import UpstreamContact

    assert table.record_contact(UpstreamContact(ORDERS, 1000, True), NOW) is None
    assert table.record_contact(UpstreamContact(ORDERS, 1000, False), NOW) == []


def test_an_upstream_is_marked_silent_once_and_revived_by_a_call(table):
    later = Instant(NOW + 10.0)
    assert table.mark_silent(later, 3.0) == [ORDERS]
    assert table.mark_silent(later, 3.0) == []
    assert table.record_announcement(announce(sequence=6), later) == (
        AnnouncementOutcome.ACCEPTED,
        [ORDERS],
    )


def test_changed_slots_are_reported_as_a_change(table):
    changed = msgspec.structs.replace(announce(sequence=6), slots=9)
    assert table.record_announcement(changed, NOW)[1] == [ORDERS]
