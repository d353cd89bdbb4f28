"""Evacuation of data centres: operators' orders, their replicated state and what balancers get.

State machines without I/O. Control instances run `EvacuationState` on the replicated log; balancers
only use `Evacuations`.
"""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
    from chicorypost.evacuation._commands import EvacuationCommand, is_evacuation_command
    from chicorypost.evacuation._records import (
        NO_EVACUATIONS,
        NO_REVISION,
        Evacuations,
        Revision,
        find_evacuations_fault,
    )
    from chicorypost.evacuation._snapshots import (
        make_control_snapshot,
        read_evacuation_snapshot,
    )
    from chicorypost.evacuation._state import (
        EvacuationState,
        OrderApplied,
        OrderOutcome,
        UnreadableOrder,
    )

__all__ = [
    "NO_EVACUATIONS",
    "NO_REVISION",
    "EvacuationCommand",
    "EvacuationState",
    "Evacuations",
    "OrderApplied",
    "OrderOutcome",
    "Revision",
    "UnreadableOrder",
    "find_evacuations_fault",
    "is_evacuation_command",
    "make_control_snapshot",
    "read_evacuation_snapshot",
]

__getattr__ = import_lazily(
    __name__,
    {
        "NO_EVACUATIONS": "_records",
        "NO_REVISION": "_records",
        "EvacuationCommand": "_commands",
        "EvacuationState": "_state",
        "Evacuations": "_records",
        "OrderApplied": "_state",
        "OrderOutcome": "_state",
        "Revision": "_records",
        "UnreadableOrder": "_state",
        "find_evacuations_fault": "_records",
        "is_evacuation_command": "_commands",
        "make_control_snapshot": "_snapshots",
        "read_evacuation_snapshot": "_snapshots",
    },
)
