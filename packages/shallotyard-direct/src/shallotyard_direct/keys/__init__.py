"""Grants and moves of the keys of upstreams."""
