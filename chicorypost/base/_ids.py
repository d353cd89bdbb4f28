"""Identifier types used by every part."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
DataCentreId = NewType("DataCentreId", str)
ServiceId = NewType("ServiceId", str)
UpstreamId = NewType("UpstreamId", str)

Address = NewType("Address", str)
"""A virtual address that callers connect to, written ``ip:port/tcp`` or ``ip:port/udp``."""

Incarnation = NewType("Incarnation", int)
"""Number of one start of a process; a later start has a greater number."""

Epoch = NewType("Epoch", int)
"""Number of a membership view within one data centre."""

Version = NewType("Version", int)
"""Number of an accepted configuration; 0 is the empty configuration."""

Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)

PatchId = NewType("PatchId", str)
"""Chosen by the operator; a resend carries the same one."""

FlowKey = NewType("FlowKey", bytes)
"""Protocol, source and destination of a flow: 13 bytes in network order."""

RequestKey = NewType("RequestKey", str)
"""The caller's idempotency key."""

AttemptId = NewType("AttemptId", str)
"""Correlation id of one attempt of a request at one upstream."""

SlotNumber = NewType("SlotNumber", int)
"""Index of a hash slot in the slot table of a service."""

Instant = NewType("Instant", float)
"""Seconds on the monotonic clock of one process; never sent to another process."""

WallTime = NewType("WallTime", float)
"""Seconds since the Unix epoch; used where callers, upstreams or operators see a time."""
