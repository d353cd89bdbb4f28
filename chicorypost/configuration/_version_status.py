"""Query: which balancers apply a version, and which can't be reached."""

from dataclasses import dataclass

from chicorypost.base import DataCentreId, Epoch, InstanceId, Instant, Version
from chicorypost.configuration._messages import Laggard
from chicorypost.configuration._publisher import ConfigurationPublisher, DataCentreStatus

MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class DataCentreVersionStatus:
    """What the balancers of one data centre do with a version.

    Attributes
    ----------
    data_centre : DataCentreId
        Where.
    relay : InstanceId or None
        The balancer that reported; None when none ever did.
    epoch : Epoch
        Epoch of the reported view.
    members : int
        How many balancers the view has.
    applying : tuple of InstanceId
        Those that apply the version or a later one; empty while their names aren't all known.
    applying_count : int
        How many apply it.
    behind : tuple of Laggard
        Those that don't, as far as they are named.
    silent_seconds : float
        Time since the last report; for a data centre never heard, since this instance started.
    reachable : bool
        Whether the data centre reports within the allowed time.
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
    """Where a version is in force.

    Attributes
    ----------
    version : Version
        The version that was asked for.
    published : bool
        Whether this control instance knows the version as committed.
    in_force : bool
        Whether every balancer that can be reached applies it.
    everywhere : bool
        Whether every balancer does and every data centre can be reached.
    withheld : tuple of str
        What still waits for a release; not assigned by the version yet.
    unreachable : tuple of str
        Data centres and balancers that can't be reached.
    data_centres : tuple of DataCentreVersionStatus
        The details.
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
    """Return where a version is in force, as known to one control instance."""
    names = sorted(publisher.data_centres.keys() | publisher.data_centre_statuses.keys())
    details = tuple(_data_centre_version_status(publisher, name, version, now) for name in names)
    limit_ms = publisher.settings.unreachable_seconds * MILLISECONDS
    published = publisher.window.version >= version
    unreachable = tuple(name for item in details for name in _list_unreachable(item, limit_ms))
    pending = [item for item in details if item.reachable and not _is_settled(item, limit_ms)]
    complete = all(item.reachable and item.applying_count == item.members for item in details)
    return VersionStatus(
        version=version,
        published=published,
        in_force=published and not pending,
        everywhere=published and complete,
        withheld=tuple(hold.value for hold in publisher.withheld),
        unreachable=unreachable,
        data_centres=details,
    )


def _data_centre_version_status(
    publisher: ConfigurationPublisher, name: DataCentreId, version: Version, now: Instant
) -> DataCentreVersionStatus:
    standing = publisher.data_centre_statuses.get(name)
    if standing is None:
        silence = now - publisher.started_at
        return DataCentreVersionStatus(name, None, Epoch(0), 0, (), 0, (), silence, False)
    report = standing.report
    behind = tuple(item for item in report.laggards if item.version < version)
    count = _count_applying(standing, len(behind), version)
    named = {item.instance for item in behind}
    complete = count == report.member_count - len(behind) and standing.named_epoch == report.epoch
    return DataCentreVersionStatus(
        data_centre=name,
        relay=standing.relay,
        epoch=report.epoch,
        members=report.member_count,
        applying=(
            tuple(item for item in standing.member_names if item not in named) if complete else ()
        ),
        applying_count=count,
        behind=behind,
        silent_seconds=round(now - standing.received_at, 3),
        reachable=now - standing.received_at < publisher.settings.unreachable_seconds,
    )


def _count_applying(standing: DataCentreStatus, behind: int, version: Version) -> int:
    report = standing.report
    if report.version < version:
        return 0
    if report.behind_count > len(report.laggards):
        return report.member_count - report.behind_count
    return report.member_count - behind


def _is_settled(force: DataCentreVersionStatus, limit_ms: float) -> bool:
    silent = sum(1 for item in force.behind if item.silent_ms >= limit_ms)
    return force.applying_count + silent >= force.members


def _list_unreachable(force: DataCentreVersionStatus, limit_ms: float) -> list[str]:
    if not force.reachable:
        return [f"data centre {force.data_centre}"]
    return [f"balancer {item.instance}" for item in force.behind if item.silent_ms >= limit_ms]
