"""Tests of experiments."""
