"""Tests of how a holder counts leases and whom it supports."""

# mypy: disable-error-code="arg-type, union-attr"

import pytest

from chicorypost.base import Instant, View
from chicorypost.membership import MembershipSettings
from chicorypost.membership._holder import Holder
from chicorypost.membership._messages import LeaseGrant
from chicorypost.membership._records import InstanceIncarnation, ViewRecord, formation_epoch
from chicorypost.membership.tests.simulation import gent_names, make_member


def make_holder(now=0.0):
    return Holder(MembershipSettings(), make_member("gent-0"), Instant(now))


def make_record(counter):
    members = tuple(make_member(name) for name in gent_names(0, 1, 2))
    grantors = tuple(InstanceIncarnation(member.instance, member.incarnation) for member in members)
    return ViewRecord(View("gent", formation_epoch(counter, 0), members), grantors)


def echoes(effects):
    return {effect.message.echo for effect in effects}


@pytest.mark.parametrize("delay", [0.0, 0.5, 1.9, 2.1])
def test_a_lease_counts_from_when_its_request_was_sent(delay):
    holder, record = make_holder(), make_record(1)
    holder.adopt(record, Instant(10.0))
    holder.renew(Instant(10.0))
    for name in gent_names(0, 1):
        holder.granted(name, LeaseGrant(record.epoch, 1, 2_000, 7), Instant(10.0 + delay))
    assert holder.lease_end == (12.0 if delay < 2.0 else None)


def test_a_repeated_grant_from_one_grantor_is_no_majority():
    holder, record = make_holder(), make_record(1)
    holder.adopt(record, Instant(10.0))
    holder.renew(Instant(10.0))
    for _ in range(3):
        holder.granted("gent-1", LeaseGrant(record.epoch, 1, 2_000, 7), Instant(10.1))
    assert holder.lease_end is None


@pytest.mark.parametrize("first", [0.0, 5.0])
def test_no_support_within_one_lease_of_a_start_or_of_another_formation(first):
    holder, one, other = make_holder(), make_record(1), make_record(2)
    holder.adopt(one, Instant(first))
    holder.renew(Instant(first))
    holder.granted("gent-1", LeaseGrant(one.epoch, 1, 0, 7), Instant(first))
    assert echoes(holder.renew(Instant(first + 0.5))) == ({0} if first == 0.0 else {0, 7})
    supported_until = 3.0 if first == 0.0 else first + 0.5 + 3.0
    holder.adopt(other, Instant(first + 1.0))
    sent = holder.renew(Instant(first + 1.0))
    assert echoes(sent) == {0}
    holder.granted("gent-1", LeaseGrant(other.epoch, holder.sequence, 0, 9), Instant(first + 1.0))
    assert echoes(holder.renew(Instant(supported_until - 0.01))) == {0}
    assert echoes(holder.renew(Instant(supported_until))) == {0, 9}
