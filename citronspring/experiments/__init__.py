"""Experiments: seeded runs of many cores under faults, judged afterwards."""
