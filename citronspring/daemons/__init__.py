"""Thin processes around the decision core."""
