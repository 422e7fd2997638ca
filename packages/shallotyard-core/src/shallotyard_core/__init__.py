"""Decisions of the router as a state machine without I/O."""
