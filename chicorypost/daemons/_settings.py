"""Settings of the processes and how a settings file is checked."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

from pydantic import AfterValidator, Field, ValidationError, model_validator

from chicorypost.base import DataCentreId, Endpoint, InstanceId, Settings
from chicorypost.configuration import DistributionSettings
from chicorypost.events import Level
from chicorypost.flows import FlowSettings
from chicorypost.membership import MembershipSettings
from chicorypost.requests import RequestSettings
from chicorypost.transport import HttpSettings, TlsSettings, TransportSettings
from chicorypost.upstreams import ChooserSettings, DirectorySettings, DispatcherSettings


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``host:port``; an IPv6 host stands in brackets.

    Raises
    ------
    ValueError
        If the text has no host or no port between 0 and 65535.

    Examples
    --------
    >>> parse_endpoint("127.0.0.1:80")
    Endpoint(host='127.0.0.1', port=80)
    """
    host, separator, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not separator or not host or not port.isdecimal() or int(port) > 65_535:
        raise ValueError(f"endpoint is {text!r}, allowed is host:port with a port up to 65535")
    return Endpoint(host, int(port))


def _check_endpoint(text: str) -> str:
    parse_endpoint(text)
    return text


EndpointText = Annotated[str, AfterValidator(_check_endpoint)]
"""``host:port``; port 0 lets the kernel choose."""


class InstanceAddress(Settings):
    """Where another instance can be reached.

    Parameters
    ----------
    id : str
        Its instance id.
    data_centre : str
        Its data centre.
    control : str
        ``host:port`` of its listener for our processes.
    packets : str, optional
        ``host:port`` of its packet listener; balancers only.
    """

    id: InstanceId = Field(min_length=1, max_length=100)
    data_centre: DataCentreId = Field(min_length=1, max_length=100)
    control: EndpointText
    packets: EndpointText | None = None


class BalancerListen(Settings):
    """Listeners of a balancer, each ``host:port``."""

    control: EndpointText
    packets: EndpointText
    requests: EndpointText
    announcements: EndpointText
    admin: EndpointText


class LogSettings(Settings):
    """What is logged."""

    level: Level = Level.INFO


class ProcessSettings(Settings):
    """What every process has in its settings.

    Parameters
    ----------
    id : str
        Instance id, unique in the deployment.
    data_centre : str
        The data centre of this instance.
    balancers, controls : list
        Address book of the deployment, this instance included.
    stop_seconds : float, default 30
        Limit of a graceful stop.
    """

    id: InstanceId = Field(min_length=1, max_length=100)
    data_centre: DataCentreId = Field(min_length=1, max_length=100)
    balancers: tuple[InstanceAddress, ...] = ()
    controls: tuple[InstanceAddress, ...] = ()
    tls: TlsSettings
    transport: TransportSettings = TransportSettings()
    admin: HttpSettings = HttpSettings()
    log: LogSettings = LogSettings()
    stop_seconds: float = Field(default=30.0, ge=0, le=3600)

    @model_validator(mode="after")
    def check_unique_ids(self) -> "ProcessSettings":
        """Refuse an instance id that stands twice in the address book."""
        ids = [address.id for address in (*self.balancers, *self.controls)]
        doubles = sorted({name for name in ids if ids.count(name) > 1})
        if doubles:
            raise ValueError(f"instance ids stand twice: got {doubles}, allowed is each once")
        return self


class BalancerSettings(ProcessSettings):
    """Settings of ``chicorypost balancer``.

    Parameters
    ----------
    listen : BalancerListen
        Where the process listens.
    stop_notice_seconds : float, default 1
        How long a stopping balancer goes on while the fabric learns that it is not ready.
    """

    listen: BalancerListen
    requests_http: HttpSettings = HttpSettings()
    announcements_http: HttpSettings = HttpSettings(body_bytes=16 * 1024)
    stop_notice_seconds: float = Field(default=1.0, ge=0, le=60)
    configuration: DistributionSettings = DistributionSettings()
    membership: MembershipSettings = MembershipSettings()
    flows: FlowSettings = FlowSettings()
    directory: DirectorySettings = DirectorySettings()
    chooser: ChooserSettings = ChooserSettings()
    dispatcher: DispatcherSettings = DispatcherSettings()
    requests: RequestSettings = RequestSettings()


@dataclass(frozen=True, slots=True)
class InvalidSetting:
    """One mistake in a settings file."""

    path: str
    problem: str

    def __str__(self) -> str:
        """Return the mistake as one line."""
        return f"{self.path}: {self.problem}"


AnySettings = TypeVar("AnySettings", bound=Settings)


def load_settings(
    file: Path, settings_class: type[AnySettings]
) -> AnySettings | list[InvalidSetting]:
    """Read and check a settings file whole.

    Parameters
    ----------
    file : Path
        A JSON file.
    settings_class : type
        Which settings are expected.

    Returns
    -------
    settings or list of InvalidSetting
        The settings, or every mistake with its path, what was got and what is allowed.
    """
    try:
        values = json.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        return [InvalidSetting(str(file), f"cannot be read: {error.strerror}")]
    except ValueError as error:
        return [InvalidSetting(str(file), f"is not JSON: {error}")]
    return check_settings(values, settings_class)


def check_settings(
    values: Any, settings_class: type[AnySettings]
) -> AnySettings | list[InvalidSetting]:
    """Check settings that have been read already; see `load_settings`."""
    try:
        return settings_class.model_validate(values)
    except ValidationError as error:
        return [_convert_error(dict(mistake)) for mistake in error.errors()]


def _convert_error(mistake: dict[str, Any]) -> InvalidSetting:
    path = ".".join(str(part) for part in mistake["loc"]) or "(whole file)"
    match mistake["type"]:
        case "extra_forbidden":
            problem = "is not a known setting; allowed is what the schema names"
        case "missing":
            problem = "is missing; it is required"
        case _:
            problem = f"{mistake['msg']}; got {mistake['input']!r:.120}"
    return InvalidSetting(path, problem)
