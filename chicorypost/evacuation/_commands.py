"""Commands of the replicated log that start or end an evacuation."""

import msgpack

from chicorypost.base import DataCentreId, Record
from chicorypost.evacuation._records import Revision

COMMAND_TAG = "evacuation"
"""First field of the command. The first field of a stored configuration is a number, so earlier
builds report this command as unreadable and keep their configuration."""
_PACKED_TAG: bytes = msgpack.packb(COMMAND_TAG)


class EvacuationCommand(Record, frozen=True, array_like=True, tag=COMMAND_TAG):
    """An order to start or end the evacuation of a data centre.

    Parameters
    ----------
    order_id : str
        Identifies this proposal of the order.
    data_centre : DataCentreId
        The data centre.
    is_evacuated : bool
        Whether it is evacuated afterwards.
    expected_revision : Revision
        Revision of the data centre's entry that the proposer had applied. The command has no
        effect if the entry has another one.
    """

    order_id: str
    data_centre: DataCentreId
    is_evacuated: bool
    expected_revision: Revision


def is_evacuation_command(command: bytes) -> bool:
    """Return whether a command of the log is an `EvacuationCommand`, readable or not."""
    # The tag follows the header of the array, which has one byte up to 15 fields.
    return command[1 : 1 + len(_PACKED_TAG)] == _PACKED_TAG
