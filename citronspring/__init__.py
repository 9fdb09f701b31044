"""A layer-4 load balancer that one operator team runs for many client accounts."""

__version__ = "0.1.0"
