"""Requests of callers, from their arrival to their response."""
