"""The query that asks a balancer where an opening would go."""

import struct
from collections.abc import Mapping

from chicorypost.base import Address, Endpoint, FlowKey
from chicorypost.platform._packets import make_address
from chicorypost.platform._settings import read_endpoint

_FLOW_KEY_FORMAT = struct.Struct(">HHII")
"""Client port, virtual port, virtual address and client address, as in a packet."""


def read_route_query(query: Mapping[str, str]) -> tuple[Address, FlowKey | None]:
    """Decode a query.

    Parameters
    ----------
    query : mapping of str to str
        `address` is the virtual address and port, `client` that of the client; `client` is
        optional.

    Returns
    -------
    tuple of Address and FlowKey or None
        The virtual address, and the flow if the client is given.

    Raises
    ------
    ValueError
        If `address` is missing, or one of them isn't an IPv4 address and port.
    """
    if "address" not in query:
        raise ValueError("field `address` is missing")
    virtual = _read_field(query, "address")
    address = make_address(virtual.host, virtual.port)
    if "client" not in query:
        return address, None
    client = _read_field(query, "client")
    key = _FLOW_KEY_FORMAT.pack(
        client.port, virtual.port, _read_ipv4(virtual.host), _read_ipv4(client.host)
    )
    return address, FlowKey(key)


def _read_field(query: Mapping[str, str], name: str) -> Endpoint:
    try:
        return read_endpoint(query[name])
    except ValueError as error:
        raise ValueError(f"field `{name}`: {error}") from error


def _read_ipv4(host: str) -> int:
    return int.from_bytes(bytes(int(part) for part in host.split(".")), "big")
