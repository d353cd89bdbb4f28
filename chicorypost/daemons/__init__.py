"""Daemons: move bytes and time between sockets and state machines."""
