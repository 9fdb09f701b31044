"""Adapter to the users' platform: translates its names and formats and nothing else."""
