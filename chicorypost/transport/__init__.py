"""Streams between processes, HTTP and TLS."""
