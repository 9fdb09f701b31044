"""Soak test: real host processes under injected faults, checked by callers' results."""
