"""The adapter to the users' platform: its names, formats and calls, and nothing that decides.

Everything is decoded here into types of the product; nothing outside knows the platform's names.
"""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
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
    from chicorypost.platform._packets import (
        BadPacket,
        make_reset,
        name_address,
        name_flow,
        read_packet,
        read_request_id,
        wrap_packet,
    )
    from chicorypost.platform._settings import (
        SETTINGS_VARIABLE,
        NodeSettings,
        NodeSettingsMistake,
        load_node_settings,
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
    "load_node_settings",
    "make_reset",
    "name_address",
    "name_flow",
    "read_announcement",
    "read_call",
    "read_configuration",
    "read_endpoint",
    "read_leaving",
    "read_node_settings",
    "read_packet",
    "read_request_id",
    "wrap_packet",
]

__getattr__ = import_lazily(
    __name__,
    {
        "AnnounceCall": "_calls",
        "AnnouncementMistake": "_announcements",
        "BadPacket": "_packets",
        "LeaveCall": "_calls",
        "NodeSettings": "_settings",
        "NodeSettingsMistake": "_settings",
        "SETTINGS_VARIABLE": "_settings",
        "Simple": "_calls",
        "UnknownCall": "_calls",
        "answer_document": "_calls",
        "answer_done": "_calls",
        "answer_elsewhere": "_calls",
        "answer_mistake": "_calls",
        "answer_unavailable": "_calls",
        "answer_unknown": "_calls",
        "load_node_settings": "_settings",
        "make_reset": "_packets",
        "name_address": "_packets",
        "name_flow": "_packets",
        "read_announcement": "_announcements",
        "read_call": "_calls",
        "read_configuration": "_configuration",
        "read_endpoint": "_settings",
        "read_leaving": "_announcements",
        "read_node_settings": "_settings",
        "read_packet": "_packets",
        "read_request_id": "_packets",
        "wrap_packet": "_packets",
    },
)
