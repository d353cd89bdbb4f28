"""Order of the calls of upstreams, and use of an address by several."""

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
    upstream=ORDERS, born=1000, sequence=1, host="10.0.0.1", standing=AnnouncedStatus.READY
):
    return Announcement(
        upstream,
        born,
        sequence,
        ServiceId("orders"),
        DataCentreId("a"),
        Endpoint(host, 80),
        1,
        2,
        standing,
        0,
    )


@pytest.fixture
def table():
    table = AnnouncementTable()
    table.record_announcement(announce(sequence=5), NOW)
    return table


def standing_of(table, upstream=ORDERS):
    return table.entries[upstream].announcement.standing


def test_a_first_call_is_a_change():
    assert AnnouncementTable().record_announcement(announce(), NOW) == (
        AnnouncementOutcome.ACCEPTED,
        [ORDERS],
    )


def test_a_repeated_state_is_no_change(table):
    assert table.take(announce(sequence=6), NOW) == (AnnouncementOutcome.ACCEPTED, [])


def test_a_late_call_of_the_same_run_changes_nothing(table):
    table.take(announce(sequence=7, standing=AnnouncedStatus.DRAINING), NOW)
    assert table.take(announce(sequence=6), NOW) == (AnnouncementOutcome.OUTDATED, [])
    assert standing_of(table) is AnnouncedStatus.DRAINING


def test_a_later_run_with_a_lower_number_counts(table):
    outcome, changed = table.take(announce(born=2000, sequence=1), NOW)
    assert (outcome, changed) == (AnnouncementOutcome.ACCEPTED, [ORDERS])


def test_a_late_call_of_an_earlier_run_changes_nothing(table):
    table.take(announce(born=2000, sequence=1, standing=AnnouncedStatus.DRAINING), NOW)
    assert table.take(announce(born=1000, sequence=9), NOW)[0] is AnnouncementOutcome.OUTDATED
    assert standing_of(table) is AnnouncedStatus.DRAINING


def test_a_later_upstream_at_the_address_ends_the_former(table):
    outcome, changed = table.take(announce(ARCHIVE, born=3000), NOW)
    assert (outcome, changed) == (AnnouncementOutcome.ACCEPTED, [ORDERS, ARCHIVE])
    assert standing_of(table) is AnnouncedStatus.GONE


def test_a_late_call_of_the_former_at_the_address_changes_nothing(table):
    table.take(announce(ARCHIVE, born=3000), NOW)
    assert table.take(announce(sequence=9), NOW)[0] is AnnouncementOutcome.OUTDATED
    assert standing_of(table) is AnnouncedStatus.GONE
    assert standing_of(table, ARCHIVE) is AnnouncedStatus.READY


def test_an_address_left_by_a_restart_elsewhere_is_free(table):
    table.take(announce(born=9000, sequence=1, host="10.0.0.7"), NOW)
    assert table.take(announce(ARCHIVE, born=3000), NOW)[0] is AnnouncementOutcome.ACCEPTED
    assert standing_of(table) is AnnouncedStatus.READY


def test_leaving_ends_a_run_and_late_calls_do_not_bring_it_back(table):
    assert table.leave(LeaveNotice(ORDERS, None, None)) == (AnnouncementOutcome.ACCEPTED, [ORDERS])
    assert table.take(announce(sequence=5), NOW)[0] is AnnouncementOutcome.OUTDATED
    assert standing_of(table) is AnnouncedStatus.GONE


def test_a_late_farewell_of_an_earlier_run_changes_nothing(table):
    table.take(announce(born=2000), NOW)
    assert table.leave(LeaveNotice(ORDERS, 1000, 9)) == (AnnouncementOutcome.OUTDATED, [])
    assert standing_of(table) is AnnouncedStatus.READY


def test_a_call_whose_peer_knows_that_it_drains_is_asked_for(table):
    from chicorypost.announcements._messages import UpstreamContact

    assert table.hear(HeardUpstream(ORDERS, 1000, True), NOW) is None
    assert table.hear(HeardUpstream(ORDERS, 1000, False), NOW) == []


def test_silence_is_found_once_and_ends_with_a_call(table):
    later = Instant(NOW + 10.0)
    assert table.find_silent(later, 3.0) == [ORDERS]
    assert table.find_silent(later, 3.0) == []
    assert table.take(announce(sequence=6), later) == (AnnouncementOutcome.ACCEPTED, [ORDERS])


def test_slots_that_change_are_told(table):
    more = msgspec.structs.replace(announce(sequence=6), slots=9)
    assert table.take(more, NOW)[1] == [ORDERS]
