"""The adapter to the users' platform: its names, formats and calls, and nothing that decides.

Everything is decoded here into types of the product; nothing outside knows the platform's names.
"""

from chicorypost.platform._announcements import (
    AnnouncementMistake,
    read_announcement,
    read_leaving,
)
from chicorypost.platform._calls import (
    AnnounceCall,
    LeaveCall,
    Simple,
    UnknownCall,
    answer_document,
    answer_done,
    answer_elsewhere,
    answer_mistake,
    answer_unavailable,
    answer_unknown,
    read_call,
)
from chicorypost.platform._configuration import read_configuration
from chicorypost.platform._packets import BadPacket, make_reset, read_packet, wrap_packet
from chicorypost.platform._settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    NodeSettingsMistake,
    read_endpoint,
    read_node_settings,
)

__all__ = [
    "SETTINGS_VARIABLE",
    "AnnounceCall",
    "AnnouncementMistake",
    "BadPacket",
    "LeaveCall",
    "NodeSettings",
    "NodeSettingsMistake",
    "Simple",
    "UnknownCall",
    "answer_document",
    "answer_done",
    "answer_elsewhere",
    "answer_mistake",
    "answer_unavailable",
    "answer_unknown",
    "make_reset",
    "read_announcement",
    "read_call",
    "read_configuration",
    "read_endpoint",
    "read_leaving",
    "read_node_settings",
    "read_packet",
    "wrap_packet",
]
