"""Measure bytes between data centres per change, with and without deltas, batches and relays.

All four ways of distribution send the same changes in one run; messages are encoded as on the
wire.

Based on Xiao and Zhou, "Health Data Availability Protection: Delta-XOR-Relay Data Update in
Erasure-Coded Cloud Storage Systems"; the XOR of parity blocks in that paper does not apply here.

Run with ``python -m benchmarks.configuration_bytes``.
"""

import random
from typing import Any

from benchmarks.reporting import report
from chicorypost.base import Version, encode
from chicorypost.configuration._messages import ConfigurationFull
from chicorypost.configuration._relay import PUSH_HEADER
from chicorypost.configuration._window import DocumentWindow

CHANGE_COUNT = 300
BURST_SIZES = (1, 1, 1, 2, 5)
WINDOW_VERSIONS = 64
DEPLOYMENT_SIZES = (
    {"services": 4, "addresses": 4, "data_centres": 3, "balancers": 21},
    {"services": 60, "addresses": 480, "data_centres": 4, "balancers": 810},
)


def make_document(services: int, addresses: int) -> dict[str, Any]:
    """Return a document with the addresses divided evenly among the services."""
    addresses_per_service = addresses // services
    return {
        "services": {
            f"service-{number}": {
                "addresses": [
                    f"10.{number}.0.{host_number}:443/tcp"
                    for host_number in range(1, addresses_per_service + 1)
                ],
                "hosts": [f"service-{number}.example"],
                "selector": {"service": f"service-{number}"},
                "limits": {"slots": 3, "connections": 4700},
                "priority": "ordinary",
                "idempotent": [{"method": "GET", "path_prefix": "/"}],
                "deadline_seconds": 10.0,
            }
            for number in range(services)
        }
    }


def change_one_service(document: dict[str, Any], rng: random.Random) -> dict[str, Any]:
    """Return a copy of the document with one field of a random service changed."""
    name = rng.choice(sorted(document["services"]))
    service = dict(document["services"][name])
    changed_field = rng.randrange(3)
    if changed_field == 0:
        service["deadline_seconds"] = round(rng.uniform(1, 60), 1)
    elif changed_field == 1:
        service["limits"] = {"slots": rng.randint(1, 4), "connections": 4700}
    else:
        host = f"h{rng.randrange(10**6)}.example"
        service["hosts"] = [f"{name}.example", host]
    return {**document, "services": {**document["services"], name: service}}


def measure_bytes_per_change(size: dict[str, int]) -> dict[str, float]:
    """Return the bytes between data centres per change, by way of distribution."""
    rng = random.Random(1)
    window = DocumentWindow(WINDOW_VERSIONS)
    window.add_version(Version(1), make_document(size["services"], size["addresses"]))
    data_centre_count = size["data_centres"]
    remote_balancers = size["balancers"] - size["balancers"] // data_centre_count
    totals = {"full": 0, "delta": 0, "delta_batch": 0, "delta_batch_relay": 0}
    changes = 0
    while changes < CHANGE_COUNT:
        base, digest = window.version, window.digest
        for _ in range(rng.choice(BURST_SIZES)):
            previous, previous_digest = window.version, window.digest
            window.add_version(
                Version(window.version + 1), change_one_service(window.document, rng)
            )
            totals["delta"] += remote_balancers * _encoded_reply_size(
                window, previous, previous_digest
            )
            totals["full"] += remote_balancers * _encoded_reply_size(window, Version(-1), 0)
            changes += 1
        batch_bytes = _encoded_reply_size(window, base, digest)
        totals["delta_batch"] += remote_balancers * batch_bytes
        totals["delta_batch_relay"] += (data_centre_count - 1) * batch_bytes
    return {name: round(total / changes, 1) for name, total in totals.items()}


def _encoded_reply_size(window: DocumentWindow, base: Version, digest: int) -> int:
    reply = window.make_reply(base, digest, PUSH_HEADER)
    assert base >= 0 or isinstance(reply, ConfigurationFull)
    return len(encode(reply))


def main() -> None:
    """Measure at the present size of a deployment and at the design size."""
    for size in DEPLOYMENT_SIZES:
        report(
            "configuration_bytes_across_data_centres",
            **size,
            bytes_per_change=measure_bytes_per_change(size),
        )


if __name__ == "__main__":
    main()
