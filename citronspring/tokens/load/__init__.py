"""Decisions of the token mode under load: observe, share, decide."""
