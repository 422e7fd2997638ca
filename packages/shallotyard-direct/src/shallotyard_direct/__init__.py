"""Direct dispatch: every instance sends straight to the upstreams.

The package serves deployments whose upstreams check fenced grants themselves.
It holds decisions only: one reducer takes events and returns effects.
"""

__version__ = "0.1.0"
