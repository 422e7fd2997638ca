"""Command line for operators of a deployment."""
