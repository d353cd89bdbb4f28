"""Measure bytes across data centres for each change, with and without delta, batch and relay.

The four ways send the same changes in the same run; each message is encoded as it would travel.
The ideas are those of Xiao and Zhou, "Health Data Availability Protection: Delta-XOR-Relay Data
Update in Erasure-Coded Cloud Storage Systems"; the XOR of parity blocks has no counterpart here.

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
    """Return a document with the addresses spread evenly over the services."""
    each = addresses // services
    return {
        "services": {
            f"service-{number}": {
                "addresses": [f"10.{number}.0.{item}:443/tcp" for item in range(1, each + 1)],
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


def change_one_service(document: dict[str, Any], source: random.Random) -> dict[str, Any]:
    """Return the document with one field of one service changed, as an operator would."""
    name = source.choice(sorted(document["services"]))
    service = dict(document["services"][name])
    kind = source.randrange(3)
    if kind == 0:
        service["deadline_seconds"] = round(source.uniform(1, 60), 1)
    elif kind == 1:
        service["limits"] = {"slots": source.randint(1, 4), "connections": 4700}
    else:
        host = f"h{source.randrange(10**6)}.example"
        service["hosts"] = [f"{name}.example", host]
    return {**document, "services": {**document["services"], name: service}}


def measure_bytes_per_change(size: dict[str, int]) -> dict[str, float]:
    """Return bytes across data centres for each change, by way of sending."""
    source = random.Random(1)
    window = DocumentWindow(WINDOW_VERSIONS)
    window.add_version(Version(1), make_document(size["services"], size["addresses"]))
    sites = size["data_centres"]
    remote = size["balancers"] - size["balancers"] // sites
    totals = {"full": 0, "delta": 0, "delta_batch": 0, "delta_batch_relay": 0}
    changes = 0
    while changes < CHANGE_COUNT:
        base, digest = window.version, window.digest
        for _ in range(source.choice(BURST_SIZES)):
            before, before_digest = window.version, window.digest
            window.add_version(
                Version(window.version + 1), change_one_service(window.document, source)
            )
            totals["delta"] += remote * _encoded_reply_size(window, before, before_digest)
            totals["full"] += remote * _encoded_reply_size(window, Version(-1), 0)
            changes += 1
        batch = _encoded_reply_size(window, base, digest)
        totals["delta_batch"] += remote * batch
        totals["delta_batch_relay"] += (sites - 1) * batch
    return {name: round(total / changes, 1) for name, total in totals.items()}


def _encoded_reply_size(window: DocumentWindow, base: Version, digest: int) -> int:
    answer = window.make_reply(base, digest, PUSH_HEADER)
    assert base >= 0 or isinstance(answer, ConfigurationFull)
    return len(encode(answer))


def main() -> None:
    """Measure at the size of today and at the size to design for."""
    for size in DEPLOYMENT_SIZES:
        report(
            "configuration_bytes_across_data_centres",
            **size,
            bytes_per_change=measure_bytes_per_change(size),
        )


if __name__ == "__main__":
    main()
