"""Admission, permits, retries and keys of requests."""
