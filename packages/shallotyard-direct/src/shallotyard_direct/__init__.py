"""Direct dispatch, in which every instance sends requests directly to upstreams.

The package is for deployments whose upstreams check fenced grants themselves. It
contains only the decisions: a reducer turns events into effects, without any I/O.
"""

__version__ = "0.1.0"
