"""The two current deployments, at full size and scaled down."""

from dataclasses import dataclass, replace

from chicorypost.configuration import Priority


@dataclass(frozen=True)
class ServiceShape:
    """A service of a deployment: its addresses, number of upstreams, limits and priority."""

    service: str
    host: str
    address: str
    upstreams: int
    slots: int
    connections: int
    priority: Priority


@dataclass(frozen=True)
class DeploymentShape:
    """Data centres, number of balancers and services of a deployment."""

    name: str
    data_centres: tuple[str, ...]
    balancers: int
    services: tuple[ServiceShape, ...]


VANDERMEULEN = DeploymentShape(
    name="vandermeulen",
    data_centres=("gent-1", "gent-2", "aalst-1"),
    balancers=21,
    services=(
        ServiceShape(
            "ordering", "ordering.test", "10.1.0.1:443/tcp", 7, 3, 4_700, Priority.CONFIRMATION
        ),
        ServiceShape("scans", "scans.test", "10.1.0.2:443/tcp", 3, 3, 4_700, Priority.ORDINARY),
    ),
)

STENCILBAY = DeploymentShape(
    name="stencilbay",
    data_centres=("bay-1", "bay-2", "bay-3", "bay-4"),
    balancers=20,
    services=(
        ServiceShape(
            "cutting", "cutting.test", "10.2.0.1:443/tcp", 7, 2, 4_200, Priority.CONFIRMATION
        ),
        ServiceShape("artwork", "artwork.test", "10.2.0.2:443/tcp", 4, 2, 4_200, Priority.ORDINARY),
    ),
)

DEPLOYMENTS = {shape.name: shape for shape in (VANDERMEULEN, STENCILBAY)}


def scale_down(shape: DeploymentShape, balancers: int, data_centres: int) -> DeploymentShape:
    """Return the deployment with fewer balancers and data centres and the same services."""
    return replace(shape, balancers=balancers, data_centres=shape.data_centres[:data_centres])
