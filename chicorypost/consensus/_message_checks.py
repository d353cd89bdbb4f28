"""Checks of messages whose types are right and whose content no replica would send."""

import msgspec

from chicorypost.base import Message, unpack_record
from chicorypost.consensus._messages import AppendRequest, ReplicaMessage
from chicorypost.consensus._records import ClusterMembership, Entry, EntryKind


def find_message_fault(message: Message) -> str | None:
    """Return why a message can't be from a replica, or None if it can.

    A replica takes the content of its peers' messages for granted: a gap in the entries, for
    example, would break an invariant of its log.

    Parameters
    ----------
    message : Message
        A message between replicas; other messages have no fault.

    Returns
    -------
    str or None
        The name of the field, its value and what is allowed.
    """
    if not isinstance(message, ReplicaMessage):
        return None
    for field in message.__struct_fields__:
        value = getattr(message, field)
        if isinstance(value, int) and value < 0:
            return f"{field} is {value}, allowed is 0 or more"
    return _find_entry_fault(message) if isinstance(message, AppendRequest) else None


def _find_entry_fault(message: AppendRequest) -> str | None:
    index, term = message.previous_index, message.previous_term
    for entry in message.entries:
        if entry.index != index + 1:
            return f"an entry has index {entry.index}, allowed is {index + 1}"
        if not term <= entry.term <= message.term:
            return f"an entry has term {entry.term}, allowed is {term} to {message.term}"
        if entry.kind is EntryKind.MEMBERSHIP and not _is_membership(entry):
            return f"entry {entry.index} holds no membership"
        index, term = entry.index, entry.term
    return None


def _is_membership(entry: Entry) -> bool:
    try:
        unpack_record(entry.command, ClusterMembership)
    except (msgspec.MsgspecError, ValueError):
        return False
    return True
