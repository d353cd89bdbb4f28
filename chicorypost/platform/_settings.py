"""The settings file that the platform writes for each process."""

import os

import msgspec

from chicorypost.base import DataCentreId, Endpoint, InstanceId

BYTES_PER_MEGABIT = 125_000.0
SETTINGS_VARIABLE = "CHICORYPOST_NODE_FILE"
"""Environment variable that names the settings file."""


class _Listen(msgspec.Struct):
    datagram_addr: str = ""
    readiness_addr: str = ""
    control: str = ""


class _Limits(msgspec.Struct):
    link_mbps: float = 0.0


class _FaultTolerance(msgspec.Struct):
    machines: int = 1


class _Bounds(msgspec.Struct):
    grace_s: float = 6.0


class _SettingsFile(msgspec.Struct):
    """The fields of the file that are used; others are ignored."""

    node_name: str
    ip: str
    zone: str
    listen: _Listen
    internal_ports: tuple[int, int]
    seeds: list[str]
    bootstrap: bool = False
    data_dir: str | None = None
    heartbeat_interval_ms: int = 1000
    limits: _Limits = msgspec.field(default_factory=_Limits)
    fault_tolerance: _FaultTolerance = msgspec.field(default_factory=_FaultTolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of one process.

    Parameters
    ----------
    name : str
        Name of the machine, for logs.
    host : str
        Its IP address.
    data_centre : DataCentreId
        Where it stands; the platform says zone.
    packets : Endpoint or None
        Where the fabric sends packets. Clients listen at the same port number.
    readiness : Endpoint or None
        Where the fabric asks whether to send packets here.
    control : Endpoint or None
        Where operators and upstreams call.
    peer_port : int
        Port at which control instances take connections of our processes, on every machine.
    seeds : tuple of InstanceId
        Control instances to start with, each named by its control endpoint.
    founds : bool
        Whether the system starts for the first time, with empty disks everywhere.
    data_folder : str or None
        Folder on the disk, where there is one.
    announcement_seconds : float
        How often upstreams announce themselves.
    lost_disks : int
        How many control instances may be lost at a time while all promises hold.
    stop_seconds : float
        Time between the request to stop and the kill.
    link_bytes_per_second : float or None
        What the machine's link takes, where the platform says it.
    """

    name: str
    host: str
    data_centre: DataCentreId
    packets: Endpoint | None
    readiness: Endpoint | None
    control: Endpoint | None
    peer_port: int
    seeds: tuple[InstanceId, ...]
    founds: bool
    data_folder: str | None
    announcement_seconds: float
    lost_disks: int
    stop_seconds: float
    link_bytes_per_second: float | None = None


class InvalidNodeSettings(msgspec.Struct, frozen=True):
    """Why a settings file can't be used."""

    detail: str


def load_node_settings() -> NodeSettings | InvalidNodeSettings:
    """Read the settings file that the environment names, as `read_node_settings` does."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        return InvalidNodeSettings(f"the variable {SETTINGS_VARIABLE} isn't set")
    try:
        with open(path, "rb") as file:
            return read_node_settings(file.read())
    except OSError as error:
        return InvalidNodeSettings(str(error))


def read_node_settings(data: bytes) -> NodeSettings | InvalidNodeSettings:
    """Read the settings of a process.

    Parameters
    ----------
    data : bytes
        Content of the file, as `deploy/node.json` lays it out.

    Returns
    -------
    NodeSettings or InvalidNodeSettings
        The settings, or what is wrong with the file.
    """
    try:
        file = msgspec.json.decode(data, type=_SettingsFile)
        return NodeSettings(
            name=file.node_name,
            host=file.ip,
            data_centre=DataCentreId(file.zone),
            packets=_read_optional_endpoint(file.listen.datagram_addr),
            readiness=_read_optional_endpoint(file.listen.readiness_addr),
            control=_read_optional_endpoint(file.listen.control),
            peer_port=file.internal_ports[0],
            seeds=tuple(InstanceId(seed) for seed in file.seeds),
            founds=file.bootstrap,
            data_folder=file.data_dir or None,
            announcement_seconds=file.heartbeat_interval_ms / 1000,
            lost_disks=file.fault_tolerance.machines,
            stop_seconds=file.bounds.grace_s,
            link_bytes_per_second=file.limits.link_mbps * BYTES_PER_MEGABIT or None,
        )
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        return InvalidNodeSettings(str(error))


def _read_optional_endpoint(text: str) -> Endpoint | None:
    return read_endpoint(text) if text else None


def read_endpoint(text: str) -> Endpoint:
    """Read ``address:port``.

    Raises
    ------
    ValueError
        If the text isn't an IPv4 address and a port from 1 to 65535.
    """
    host, separator, port = text.rpartition(":")
    parts = host.split(".")
    is_address = len(parts) == 4 and all(_is_octet(part) for part in parts)
    if not separator or not is_address or not _is_number(port) or not 0 < int(port) < 65536:
        raise ValueError(f"not an IPv4 address and port: {text!r:.60}")
    return Endpoint(host, int(port))


def _is_octet(text: str) -> bool:
    return _is_number(text) and int(text) < 256


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 5
