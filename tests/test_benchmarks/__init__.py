"""Tests of benchmarks."""
