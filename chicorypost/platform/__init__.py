"""Adapter to the users' platform: its names, formats and HTTP calls.

Decodes everything into the types of the other packages, which don't use the platform's names.
Makes no routing decisions.
"""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
    from chicorypost.platform._announcements import (
        InvalidAnnouncement,
        read_announcement,
        read_leave_notice,
    )
    from chicorypost.platform._calls import (
        EVACUATIONS_TARGET,
        AnnounceCall,
        EvacuationCall,
        InvalidDataCentre,
        LeaveCall,
        SimpleCall,
        UnknownCall,
        make_bad_request_response,
        make_document_response,
        make_evacuation_target,
        make_evacuations_response,
        make_not_found_response,
        make_ok_response,
        make_redirect_response,
        make_unavailable_response,
        read_call,
        read_data_centre,
    )
    from chicorypost.platform._configuration import read_configuration
    from chicorypost.platform._packets import (
        InvalidPacket,
        format_flow,
        format_flow_key,
        format_virtual_address,
        make_flow_reset,
        make_reset_packet,
        read_flow_ends,
        read_packet,
        read_request_id,
        wrap_packet,
    )
    from chicorypost.platform._route_query import read_route_query
    from chicorypost.platform._settings import (
        SETTINGS_VARIABLE,
        InvalidNodeSettings,
        NodeSettings,
        load_node_settings,
        read_endpoint,
        read_node_settings,
    )

__all__ = [
    "EVACUATIONS_TARGET",
    "SETTINGS_VARIABLE",
    "AnnounceCall",
    "EvacuationCall",
    "InvalidAnnouncement",
    "InvalidDataCentre",
    "InvalidNodeSettings",
    "InvalidPacket",
    "LeaveCall",
    "NodeSettings",
    "SimpleCall",
    "UnknownCall",
    "format_flow",
    "format_flow_key",
    "format_virtual_address",
    "load_node_settings",
    "make_bad_request_response",
    "make_document_response",
    "make_evacuation_target",
    "make_evacuations_response",
    "make_flow_reset",
    "make_not_found_response",
    "make_ok_response",
    "make_redirect_response",
    "make_reset_packet",
    "make_unavailable_response",
    "read_announcement",
    "read_call",
    "read_configuration",
    "read_data_centre",
    "read_endpoint",
    "read_flow_ends",
    "read_leave_notice",
    "read_node_settings",
    "read_packet",
    "read_request_id",
    "read_route_query",
    "wrap_packet",
]

__getattr__ = import_lazily(
    __name__,
    {
        "AnnounceCall": "_calls",
        "InvalidAnnouncement": "_announcements",
        "InvalidPacket": "_packets",
        "EVACUATIONS_TARGET": "_calls",
        "EvacuationCall": "_calls",
        "InvalidDataCentre": "_calls",
        "LeaveCall": "_calls",
        "NodeSettings": "_settings",
        "InvalidNodeSettings": "_settings",
        "SETTINGS_VARIABLE": "_settings",
        "SimpleCall": "_calls",
        "UnknownCall": "_calls",
        "make_document_response": "_calls",
        "make_evacuation_target": "_calls",
        "make_evacuations_response": "_calls",
        "make_ok_response": "_calls",
        "make_redirect_response": "_calls",
        "make_bad_request_response": "_calls",
        "make_unavailable_response": "_calls",
        "make_not_found_response": "_calls",
        "load_node_settings": "_settings",
        "make_flow_reset": "_packets",
        "make_reset_packet": "_packets",
        "format_virtual_address": "_packets",
        "format_flow": "_packets",
        "format_flow_key": "_packets",
        "read_announcement": "_announcements",
        "read_call": "_calls",
        "read_data_centre": "_calls",
        "read_configuration": "_configuration",
        "read_endpoint": "_settings",
        "read_flow_ends": "_packets",
        "read_leave_notice": "_announcements",
        "read_node_settings": "_settings",
        "read_packet": "_packets",
        "read_request_id": "_packets",
        "read_route_query": "_route_query",
        "wrap_packet": "_packets",
    },
)
