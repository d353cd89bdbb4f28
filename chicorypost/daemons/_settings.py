"""Settings of the processes and validation of settings files."""

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
    """Parse ``host:port``; an IPv6 host may be enclosed in brackets.

    Raises
    ------
    ValueError
        If the host is missing or the port is not a number from 0 to 65535.

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
"""``host:port``; with port 0 the kernel chooses a free port."""


class InstanceAddress(Settings):
    """Addresses of another instance.

    Parameters
    ----------
    id : str
        Instance id.
    data_centre : str
        Data centre of the instance.
    control : str
        ``host:port`` of the listener for connections between instances.
    packets : str, optional
        ``host:port`` of the packet listener; balancers only.
    """

    id: InstanceId = Field(min_length=1, max_length=100)
    data_centre: DataCentreId = Field(min_length=1, max_length=100)
    control: EndpointText
    packets: EndpointText | None = None


class BalancerListen(Settings):
    """Listener addresses of a balancer, each ``host:port``."""

    control: EndpointText
    packets: EndpointText
    requests: EndpointText
    announcements: EndpointText
    admin: EndpointText


class LogSettings(Settings):
    """Settings of the event log."""

    level: Level = Level.INFO


class ProcessSettings(Settings):
    """Settings common to all processes.

    Parameters
    ----------
    id : str
        Instance id, unique in the deployment.
    data_centre : str
        Data centre of this instance.
    balancers, controls : list
        Address book of the deployment, including this instance.
    stop_seconds : float, default 30
        Time limit of a graceful stop, in seconds.
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
        """Reject an instance id that appears twice in the address book."""
        ids = [address.id for address in (*self.balancers, *self.controls)]
        duplicates = sorted({name for name in ids if ids.count(name) > 1})
        if duplicates:
            raise ValueError(f"instance ids appear twice: got {duplicates}, allowed is each once")
        return self


class BalancerSettings(ProcessSettings):
    """Settings of ``chicorypost balancer``.

    Parameters
    ----------
    listen : BalancerListen
        Listener addresses.
    stop_notice_seconds : float, default 1
        How long, in seconds, a stopping balancer keeps serving while the network fabric notices
        that it is not ready.
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
    """An invalid value in a settings file.

    Parameters
    ----------
    path : str
        Dotted path of the setting, or the file itself.
    problem : str
        What is wrong, with the value found and the allowed values.
    """

    path: str
    problem: str

    def __str__(self) -> str:
        """Return the path and the problem as one line."""
        return f"{self.path}: {self.problem}"


AnySettings = TypeVar("AnySettings", bound=Settings)


def load_settings(
    file: Path, settings_class: type[AnySettings]
) -> AnySettings | list[InvalidSetting]:
    """Read and validate a settings file.

    Parameters
    ----------
    file : Path
        A JSON file.
    settings_class : type
        Class of the expected settings.

    Returns
    -------
    settings or list of InvalidSetting
        The settings, or all invalid values.
    """
    try:
        values = json.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        return [InvalidSetting(str(file), f"cannot be read: {error.strerror}")]
    except (ValueError, RecursionError) as error:
        return [InvalidSetting(str(file), f"is not JSON: {error}")]
    return check_settings(values, settings_class)


def check_settings(
    values: Any, settings_class: type[AnySettings]
) -> AnySettings | list[InvalidSetting]:
    """Validate settings that have been parsed already; see `load_settings`."""
    try:
        return settings_class.model_validate(values)
    except ValidationError as error:
        return [_convert_error(dict(details)) for details in error.errors()]


def _convert_error(details: dict[str, Any]) -> InvalidSetting:
    path = ".".join(str(part) for part in details["loc"]) or "(whole file)"
    match details["type"]:
        case "extra_forbidden":
            problem = "is not a known setting; allowed are the settings that the schema lists"
        case "missing":
            problem = "is missing; it is required"
        case _:
            problem = f"{details['msg']}; got {details['input']!r:.120}"
    return InvalidSetting(path, problem)
