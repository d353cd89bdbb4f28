"""Generate the full-size example settings of both deployments: ``python -m examples.generate``."""

import json
from pathlib import Path
from typing import Any

from benchmarks.standins.deployments import DEPLOYMENTS, DeploymentShape

FOLDER = Path(__file__).parent
CONTROL_COUNT = 3
BALANCER_PORTS = {
    "control": 9000,
    "packets": 9001,
    "requests": 9002,
    "announcements": 9003,
    "admin": 9100,
}
CONTROL_PORTS = {"control": 9200, "operators": 9300, "admin": 9400}


def make_instances(
    shape: DeploymentShape, role: str, count: int, ports: dict[str, int], network: int
) -> list[dict[str, Any]]:
    """Return the id, data centre and listeners of each instance of a role."""
    data_centres = shape.data_centres
    return [
        {
            "id": f"{role}-{number + 1}",
            "data_centre": data_centres[number % len(data_centres)],
            "listen": {name: f"10.0.{network}.{number + 1}:{port}" for name, port in ports.items()},
        }
        for number in range(count)
    ]


def make_address_entry(instance: dict[str, Any]) -> dict[str, Any]:
    """Return the entry of an instance in the lists of peer addresses."""
    listen = instance["listen"]
    peer_listeners = {name: listen[name] for name in ("control", "packets") if name in listen}
    return {"id": instance["id"], "data_centre": instance["data_centre"], **peer_listeners}


def make_tls(instance_id: str) -> dict[str, str]:
    """Return the TLS settings of an instance by its id."""
    folder = "/etc/chicorypost/keys"
    return {
        "certificate": f"{folder}/{instance_id}.pem",
        "key": f"{folder}/{instance_id}.key",
        "authority": f"{folder}/authority.pem",
    }


def make_patch(shape: DeploymentShape) -> dict[str, Any]:
    """Return the patch that creates the services of a deployment."""
    return {
        "services": {
            service.service: {
                "addresses": [service.address],
                "hosts": [service.host],
                "selector": {"service": service.service},
                "limits": {"slots": service.slots, "connections": service.connections},
                "priority": service.priority.value,
                "idempotent": [{"method": "GET"}, {"method": "PUT"}],
            }
            for service in shape.services
        }
    }


def write_deployment(shape: DeploymentShape) -> None:
    """Write the settings of every process and the initial configuration patch."""
    folder = FOLDER / shape.name
    folder.mkdir(exist_ok=True)
    balancers = make_instances(shape, "balancer", shape.balancers, BALANCER_PORTS, 1)
    controls = make_instances(shape, "control", CONTROL_COUNT, CONTROL_PORTS, 2)
    peer_addresses = {
        "balancers": [make_address_entry(instance) for instance in balancers],
        "controls": [make_address_entry(instance) for instance in controls],
    }
    for instance in (*balancers, *controls):
        settings = {**instance, "tls": make_tls(instance["id"]), **peer_addresses}
        if instance in controls:
            settings["data_folder"] = "/var/lib/chicorypost"
        write_json(folder / f"{instance['id']}.json", settings)
    write_json(folder / "services.patch.json", make_patch(shape))


def write_json(file: Path, value: Any) -> None:
    """Write a value to a file as indented JSON."""
    file.write_text(json.dumps(value, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    for deployment in DEPLOYMENTS.values():
        write_deployment(deployment)
