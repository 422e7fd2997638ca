"""Learned capacity of upstreams, see docs/design/upstream-capacity.md."""
