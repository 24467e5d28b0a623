"""Sockets, HTTP, clocks and the outside of the process: bytes in and out."""
