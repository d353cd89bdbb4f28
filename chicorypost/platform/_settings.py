"""The settings file that the platform writes for each process."""

import os
from typing import Annotated, Any

import msgspec

from chicorypost.base import DataCentreId, Endpoint, InstanceId
from chicorypost.cookies import BalancingSettings, ColdStartLimits
from chicorypost.platform._json import decode_json

MAX_INTEGER = 2**63 - 1
"""Largest integer that all codecs between the processes can carry."""
MAX_NAME_CHARACTERS = 255
"""Longest name of a service, data centre or upstream."""
MAX_LOST_MACHINES = 100
MAX_INTERVAL_MS = 3_600_000
"""One hour."""
BYTES_PER_MEGABIT = 125_000.0
SETTINGS_VARIABLE = "CHICORYPOST_NODE_FILE"
"""Environment variable with the path of the settings file."""


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Factor = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


class _Listen(msgspec.Struct):
    datagram_addr: str | None = None  # where the network fabric sends packets
    readiness_addr: str | None = None  # where the network fabric sends readiness probes
    control: str | None = None  # where operators and upstreams send calls


class _Limits(msgspec.Struct):
    # capacity of the link in Mbit/s
    link_mbps: Annotated[float, msgspec.Meta(ge=0, le=1e9)] | None = None
    # descriptors that the process may have open
    max_fds: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)] | None = None


class _FaultTolerance(msgspec.Struct):
    # control instances that may be lost at the same time
    machines: Annotated[int, msgspec.Meta(ge=0, le=MAX_LOST_MACHINES)] = 1


class _Bounds(msgspec.Struct):
    grace_s: Seconds = 6.0  # between the stop signal and the kill
    # factor of the rate that a cold upstream bears
    warmup_overage: Factor | None = None
    # flows a second that a cold upstream may get beyond that
    warmup_slack: Factor = 0.0


class _SettingsFile(msgspec.Struct):
    """The fields of the file that are used; unknown fields are ignored."""

    node_name: Name
    ip: str
    zone: Name  # data centre
    listen: _Listen
    internal_ports: tuple[Port, Port]  # only the first is used: see NodeSettings.peer_port
    seeds: list[Any]  # addresses; other entries are left out
    zones: dict[Name, Any] = msgspec.field(default_factory=dict)  # region of each data centre
    bootstrap: bool = False  # whether the system starts for the first time
    data_dir: str | None = None
    # how often upstreams announce themselves
    heartbeat_interval_ms: Annotated[float, msgspec.Meta(ge=1, le=MAX_INTERVAL_MS)] = 1000.0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    fault_tolerance: _FaultTolerance = msgspec.field(default_factory=_FaultTolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of one process.

    Parameters
    ----------
    name : str
        Name of the machine, for log lines.
    host : str
        IP address of the machine.
    data_centre : DataCentreId
        Data centre of the machine, which the platform calls zone.
    packets : Endpoint or None
        Endpoint to which the network fabric sends the packets of clients. Clients receive at the
        same port number.
    readiness : Endpoint or None
        Endpoint to which the network fabric sends readiness probes.
    control : Endpoint or None
        Endpoint to which operators and upstreams send calls.
    peer_port : int
        Port at which control instances accept connections from other processes of the system; the
        same on every machine.
    seeds : tuple of InstanceId
        Initial control instances, each identified by its control endpoint.
    founds : bool
        Whether to bootstrap a new cluster: the system starts for the first time and all disks are
        empty.
    data_folder : str or None
        Folder on the disk; None on machines without a disk.
    announcement_seconds : float
        Interval in seconds at which upstreams announce themselves.
    lost_disks : int
        Number of control instances that may be lost at the same time without breaking a guarantee.
    stop_seconds : float
        Seconds between the stop signal and the kill.
    link_bytes_per_second : float or None
        Capacity of the machine's link; None if the settings file has none.
    max_descriptors : int or None
        Number of descriptors that the process may have open; None if the settings file has none.
    ignored_seeds : tuple of str
        Entries of the list of seeds that aren't addresses, shortened for log lines.
    data_centres : frozenset of DataCentreId
        All data centres of the deployment; empty if the settings file doesn't list them.
    cold_start_limits : ColdStartLimits or None
        Limits for cold upstreams; None if the settings file has none.
    balancing : BalancingSettings
        Optional features of the balancers.
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
    max_descriptors: int | None = None
    ignored_seeds: tuple[str, ...] = ()
    data_centres: frozenset[DataCentreId] = frozenset()
    cold_start_limits: ColdStartLimits | None = None
    balancing: BalancingSettings = BalancingSettings()


class _ExtendedFile(msgspec.Struct):
    """The platform's file beside the features that the operator enables."""

    node: _SettingsFile
    balancing: BalancingSettings = BalancingSettings()


class InvalidNodeSettings(msgspec.Struct, frozen=True):
    """Why a settings file is rejected."""

    detail: str


def load_node_settings() -> NodeSettings | InvalidNodeSettings:
    """Read the file that the environment variable names and decode it by `read_node_settings`."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        return InvalidNodeSettings(f"environment variable {SETTINGS_VARIABLE} isn't set")
    try:
        with open(path, "rb") as file:
            return read_node_settings(file.read())
    except OSError as error:
        return InvalidNodeSettings(str(error))


def read_node_settings(data: bytes) -> NodeSettings | InvalidNodeSettings:
    """Decode and validate the settings of a process.

    Parameters
    ----------
    data : bytes
        Content of the file, in the format of `deploy/node.json`: the platform's fields, or an
        object with these in `node` and the optional features in `balancing`.

    Returns
    -------
    NodeSettings or InvalidNodeSettings
        The settings, or why they are rejected; the reason names the field. An entry of the list of
        seeds that isn't an address is left out, and the others are used.
    """
    try:
        extended = _decode_extended_file(data)
        file = extended.node
        return NodeSettings(
            name=file.node_name,
            host=_read_field("ip", f"{file.ip}:{file.internal_ports[0]}").host,
            data_centre=DataCentreId(file.zone),
            packets=_read_optional_endpoint("datagram_addr", file.listen.datagram_addr),
            readiness=_read_optional_endpoint("readiness_addr", file.listen.readiness_addr),
            control=_read_optional_endpoint("control", file.listen.control),
            peer_port=file.internal_ports[0],
            seeds=tuple(InstanceId(seed) for seed in file.seeds if _is_endpoint(seed)),
            founds=file.bootstrap,
            data_folder=file.data_dir or None,
            announcement_seconds=file.heartbeat_interval_ms / 1000,
            lost_disks=file.fault_tolerance.machines,
            stop_seconds=file.bounds.grace_s,
            link_bytes_per_second=(file.limits.link_mbps or 0.0) * BYTES_PER_MEGABIT or None,
            max_descriptors=file.limits.max_fds,
            ignored_seeds=tuple(f"{seed!r:.60}" for seed in file.seeds if not _is_endpoint(seed)),
            data_centres=frozenset(DataCentreId(name) for name in file.zones),
            cold_start_limits=_read_cold_start_limits(file.bounds),
            balancing=extended.balancing,
        )
    except ValueError as error:
        return InvalidNodeSettings(str(error))


def _decode_extended_file(data: bytes) -> _ExtendedFile:
    content = decode_json(data, dict[str, Any])
    if "node" in content:
        return decode_json(data, _ExtendedFile)
    return _ExtendedFile(decode_json(data, _SettingsFile))


def _read_cold_start_limits(bounds: _Bounds) -> ColdStartLimits | None:
    if bounds.warmup_overage is None:
        return None
    return ColdStartLimits(bounds.warmup_overage, bounds.warmup_slack)


def _read_optional_endpoint(name: str, text: str | None) -> Endpoint | None:
    return _read_field(name, text) if text else None


def _read_field(name: str, text: str) -> Endpoint:
    try:
        return read_endpoint(text)
    except ValueError as error:
        raise ValueError(f"field `{name}`: {error}") from error


def _is_endpoint(value: Any) -> bool:
    try:
        read_endpoint(value if isinstance(value, str) else "")
    except ValueError:
        return False
    return True


def read_endpoint(text: str) -> Endpoint:
    """Parse ``address:port``.

    Raises
    ------
    ValueError
        If the text isn't an IPv4 address and a port from 1 to 65535.
    """
    host, separator, port = text.rpartition(":")
    parts = host.split(".")
    is_ipv4 = len(parts) == 4 and all(_is_octet(part) for part in parts)
    if not separator or not is_ipv4 or not _is_number(port) or not 0 < int(port) < 65536:
        raise ValueError(f"not an IPv4 address and port: {text!r:.60}")
    return Endpoint(host, int(port))


def _is_octet(text: str) -> bool:
    return _is_number(text) and int(text) < 256


def _is_number(text: str) -> bool:
    # A leading zero is refused: some programs read such an octet as an octal number.
    return text.isascii() and text.isdigit() and len(text) <= 5 and text == str(int(text))
