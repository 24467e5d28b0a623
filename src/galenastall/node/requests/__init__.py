"""Drivers of the request path, and callers' routes of requests."""
