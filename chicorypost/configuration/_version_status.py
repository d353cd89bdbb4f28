"""Query of the balancers that apply a version and of those that are unreachable."""

from dataclasses import dataclass

from chicorypost.base import DataCentreId, Epoch, InstanceId, Instant, Version
from chicorypost.configuration._messages import Laggard
from chicorypost.configuration._publisher import ConfigurationPublisher, DataCentreStatus

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class DataCentreVersionStatus:
    """Which balancers of one data centre apply a version.

    Attributes
    ----------
    data_centre : DataCentreId
        The data centre.
    relay : InstanceId or None
        The balancer that sent the last report; None before the first report.
    epoch : Epoch
        Epoch of the view in the report.
    members : int
        Number of balancers in the view.
    applying : tuple of InstanceId
        Balancers that apply the version or a later one; empty unless all their names are known.
    applying_count : int
        Number of balancers that apply it.
    behind : tuple of Laggard
        Balancers that apply an earlier version, as far as the report lists them.
    silent_seconds : float
        Time since the last report, or since the start of this instance without a report.
    reachable : bool
        Whether the last report is more recent than `unreachable_seconds`.
    """

    data_centre: DataCentreId
    relay: InstanceId | None
    epoch: Epoch
    members: int
    applying: tuple[InstanceId, ...]
    applying_count: int
    behind: tuple[Laggard, ...]
    silent_seconds: float
    reachable: bool


@dataclass(frozen=True, slots=True)
class VersionStatus:
    """Which data centres and balancers apply a version.

    Attributes
    ----------
    version : Version
        The version of the query.
    published : bool
        Whether this control instance has applied the version as committed.
    in_force : bool
        Whether every reachable balancer applies it.
    everywhere : bool
        Whether every balancer applies it and every data centre is reachable.
    withheld : tuple of str
        Addresses and hosts that wait for a release and are not yet assigned.
    unreachable : tuple of str
        Unreachable data centres and balancers.
    data_centres : tuple of DataCentreVersionStatus
        The status in each data centre.
    """

    version: Version
    published: bool
    in_force: bool
    everywhere: bool
    withheld: tuple[str, ...]
    unreachable: tuple[str, ...]
    data_centres: tuple[DataCentreVersionStatus, ...]


def version_status(
    publisher: ConfigurationPublisher, version: Version, now: Instant
) -> VersionStatus:
    """Return where a version is in force, by the reports that one control instance received."""
    names = sorted(publisher.data_centres.keys() | publisher.data_centre_statuses.keys())
    details = tuple(_data_centre_version_status(publisher, name, version, now) for name in names)
    limit_ms = publisher.settings.unreachable_seconds * MILLISECONDS_PER_SECOND
    published = publisher.window.version >= version
    unreachable = tuple(name for item in details for name in _list_unreachable(item, limit_ms))
    pending = [item for item in details if item.reachable and not _is_settled(item, limit_ms)]
    complete = all(item.reachable and item.applying_count == item.members for item in details)
    return VersionStatus(
        version=version,
        published=published,
        in_force=published and not pending,
        everywhere=published and complete,
        withheld=tuple(assignment.value for assignment in publisher.withheld),
        unreachable=unreachable,
        data_centres=details,
    )


def _data_centre_version_status(
    publisher: ConfigurationPublisher, name: DataCentreId, version: Version, now: Instant
) -> DataCentreVersionStatus:
    status = publisher.data_centre_statuses.get(name)
    if status is None:
        silence = now - publisher.started_at
        return DataCentreVersionStatus(name, None, Epoch(0), 0, (), 0, (), silence, False)
    report = status.report
    behind = tuple(item for item in report.laggards if item.version < version)
    applying_count = _count_applying(status, len(behind), version)
    behind_names = {item.instance for item in behind}
    complete = (
        applying_count == report.member_count - len(behind) and status.named_epoch == report.epoch
    )
    return DataCentreVersionStatus(
        data_centre=name,
        relay=status.relay,
        epoch=report.epoch,
        members=report.member_count,
        applying=(
            tuple(item for item in status.member_names if item not in behind_names)
            if complete
            else ()
        ),
        applying_count=applying_count,
        behind=behind,
        silent_seconds=round(now - status.received_at, 3),
        reachable=now - status.received_at < publisher.settings.unreachable_seconds,
    )


def _count_applying(status: DataCentreStatus, behind: int, version: Version) -> int:
    report = status.report
    if report.version < version:
        return 0
    if report.behind_count > len(report.laggards):
        return report.member_count - report.behind_count
    return report.member_count - behind


def _is_settled(status: DataCentreVersionStatus, limit_ms: float) -> bool:
    silent = sum(1 for item in status.behind if item.silent_ms >= limit_ms)
    return status.applying_count + silent >= status.members


def _list_unreachable(status: DataCentreVersionStatus, limit_ms: float) -> list[str]:
    if not status.reachable:
        return [f"data centre {status.data_centre}"]
    return [f"balancer {item.instance}" for item in status.behind if item.silent_ms >= limit_ms]
