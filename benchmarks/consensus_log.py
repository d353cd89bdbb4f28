"""Measures the replicated log: restart time, synced appends and bytes on the wire.

Run ``python -m benchmarks.consensus_log [--folder FOLDER]``; it prints one JSON line per figure.
"""

import argparse
import json
import random
import tempfile
import time
from pathlib import Path
from typing import Any

from chicorypost.base import InstanceId, Instant, LogIndex, Term, Tick
from chicorypost.consensus import (
    ClusterMembership,
    Entry,
    EntryKind,
    HardState,
    MemberId,
    Persist,
    RecoveredState,
    Replica,
    ReplicaSettings,
    ReplicaStorage,
    Snapshot,
)
from chicorypost.consensus.tests.fakes import Cluster

COMMAND_BYTES = 300
RECORDS_PER_WRITE = 50
SNAPSHOT_BYTES = 100_000
APPEND_DURATION_SECONDS = 2.0
COMMAND_COUNT = 100
IDLE_DURATION_SECONDS = 60.0
REPEAT_COUNT = 5


def report(**fields: Any) -> None:
    """Print one figure."""
    print(json.dumps({"benchmark": "consensus_log", **fields}), flush=True)


def make_entries(first: int, count: int) -> tuple[Entry, ...]:
    """Return consecutive commands."""
    command = random.Random(first).randbytes(COMMAND_BYTES)
    indexes = range(first, first + count)
    return tuple(Entry(LogIndex(i), Term(1), EntryKind.COMMAND, command) for i in indexes)


def initialise_storage(folder: Path) -> tuple[ReplicaStorage, ClusterMembership]:
    """Make a data folder that belongs to a cluster of one."""
    storage = ReplicaStorage(folder)
    recovered = storage.recover()
    assert isinstance(recovered, RecoveredState)
    membership = ClusterMembership((MemberId(InstanceId("c1"), recovered.generation),))
    storage.write(Persist(1, HardState(Term(1), "", "cluster", membership)))
    return storage, membership


def measure_restart(folder: Path, records: int, has_snapshot: bool) -> None:
    """Time from opening the folder to a replica that has applied what is committed."""
    storage, membership = initialise_storage(folder)
    for first in range(1, records + 1, RECORDS_PER_WRITE):
        entries = make_entries(first, RECORDS_PER_WRITE)
        storage.write(Persist(2, entries=entries, commit_index=entries[-1].index))
    if has_snapshot:
        data = bytes(SNAPSHOT_BYTES)
        snapshot = Snapshot(LogIndex(records - records // 10), Term(1), membership, data)
        storage.write(Persist(3, snapshot=snapshot))
    storage.files.close()
    times = sorted(time_restart(folder) for _ in range(REPEAT_COUNT))
    report(
        measure="restart",
        records=records,
        snapshot=has_snapshot,
        median_ms=round(times[REPEAT_COUNT // 2] * 1000, 1),
        max_ms=round(times[-1] * 1000, 1),
    )


def time_restart(folder: Path) -> float:
    """Return the seconds that one restart takes."""
    started = time.perf_counter()
    storage = ReplicaStorage(folder)
    recovered = storage.recover()
    assert isinstance(recovered, RecoveredState)
    now = Instant(0.0)
    replica = Replica(ReplicaSettings(), InstanceId("c1"), recovered, random.Random(1), now)
    effects = replica.handle(Tick(), now)
    assert effects
    taken = time.perf_counter() - started
    storage.files.close()
    return taken


def measure_appends(folder: Path, records_per_write: int) -> None:
    """Count synced writes for a while."""
    storage, _ = initialise_storage(folder)
    writes = 0
    started = time.perf_counter()
    while time.perf_counter() - started < APPEND_DURATION_SECONDS:
        entries = make_entries(1 + writes * records_per_write, records_per_write)
        storage.write(Persist(writes + 2, entries=entries))
        writes += 1
    seconds = time.perf_counter() - started
    storage.files.close()
    report(
        measure="synced_appends",
        records_per_write=records_per_write,
        writes_per_s=round(writes / seconds),
        records_per_s=round(writes * records_per_write / seconds),
    )


def measure_bytes(members: int) -> None:
    """Count the bytes of one command, and those per second without commands, over all members."""
    cluster = Cluster(members)
    leader = cluster.wait_for_leader()
    cluster.run(1.0)
    before = cluster.bytes_sent
    for number in range(COMMAND_COUNT):
        cluster.propose(leader, f"p{number}", bytes(COMMAND_BYTES))
        cluster.deliver_all()
    per_command = (cluster.bytes_sent - before) / COMMAND_COUNT
    before = cluster.bytes_sent
    cluster.run(IDLE_DURATION_SECONDS)
    idle = (cluster.bytes_sent - before) / IDLE_DURATION_SECONDS
    report(
        measure="bytes",
        members=members,
        command_bytes=COMMAND_BYTES,
        per_command=round(per_command),
        idle_per_s=round(idle),
    )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, help="where data folders are made; it needs a disk")
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=chosen.folder) as name:
        folder = Path(name)
        for records in (100, 1_000, 10_000):
            for has_snapshot in (False, True):
                measure_restart(folder / f"{records}-{has_snapshot}", records, has_snapshot)
        for records_per_write in (1, 16):
            measure_appends(folder / f"appends-{records_per_write}", records_per_write)
    for members in (3, 5, 7):
        measure_bytes(members)


if __name__ == "__main__":
    main()
