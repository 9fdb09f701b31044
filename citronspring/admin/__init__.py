"""The administration API."""
