"""Types of identifiers, numbers and times used by all packages."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
DataCentreId = NewType("DataCentreId", str)
ServiceId = NewType("ServiceId", str)
UpstreamId = NewType("UpstreamId", str)

Address = NewType("Address", str)
"""Virtual address that clients connect to, written ``ip:port/tcp`` or ``ip:port/udp``."""

Incarnation = NewType("Incarnation", int)
"""Number of a start of a process; it increases with every start."""

Epoch = NewType("Epoch", int)
"""Number of a membership view of one data centre; it increases with every view."""

Version = NewType("Version", int)
"""Number of an accepted configuration; 0 is the empty configuration."""

Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)

PatchId = NewType("PatchId", str)
"""Id of a configuration patch, chosen by the operator and reused by resends."""

FlowKey = NewType("FlowKey", bytes)
"""Protocol, source and destination of a flow: 13 bytes in network order."""

RequestKey = NewType("RequestKey", str)
"""Idempotency key of a request."""

AttemptId = NewType("AttemptId", str)
"""Correlation id of one attempt to run a request on an upstream."""

SlotNumber = NewType("SlotNumber", int)
"""Index of a hash slot in the slot table of a service."""

Instant = NewType("Instant", float)
"""Seconds on the monotonic clock of one process; never sent to another process."""

WallTime = NewType("WallTime", float)
"""Seconds since the Unix epoch; for times that clients, upstreams or operators exchange."""
