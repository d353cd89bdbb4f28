"""The configuration document: services and how each is served."""

from dataclasses import dataclass
from enum import Enum

from pydantic import Field

from chicorypost.base import Address, DataCentreId, Effect, Event, ServiceId, Settings, Version


class Priority(Enum):
    """Priority class of a service, most important first."""

    CONFIRMATION = "confirmation"
    URGENT = "urgent"
    ORDINARY = "ordinary"


class IdempotentRule(Settings):
    """Requests that may run more than once: a method and a path prefix."""

    method: str
    path_prefix: str = "/"


class UpstreamSelector(Settings):
    """Which announced upstreams serve the service."""

    service: ServiceId
    data_centres: tuple[DataCentreId, ...] | None = None


class UpstreamLimits(Settings):
    """Bounds for each upstream of a service."""

    slots: int = Field(default=3, ge=1)
    connections: int = Field(default=5_000, ge=1)
    queue_length: int = Field(default=64, ge=0)


class ServiceSpec(Settings):
    """One service."""

    addresses: tuple[Address, ...] = ()
    hosts: tuple[str, ...] = ()
    selector: UpstreamSelector
    limits: UpstreamLimits = UpstreamLimits()
    priority: Priority = Priority.ORDINARY
    idempotent: tuple[IdempotentRule, ...] = ()
    deadline_seconds: float = Field(default=10.0, gt=0, le=3600)
    retry_budget: float = Field(default=0.1, ge=0, le=1)
    retention_seconds: float = Field(default=86_400.0, gt=0)
    flow_slots: int = Field(default=1024, ge=1, le=65_536)


class ConfigurationDocument(Settings):
    """The whole configuration at one version."""

    services: dict[ServiceId, ServiceSpec] = {}


@dataclass(frozen=True, slots=True)
class ConfigurationApplied(Event, Effect):
    """A configuration is in force on this instance: an event for the other parts."""

    version: Version
    document: ConfigurationDocument
