"""The router daemon."""

import os

# grpc reads this variable on first import. Its event engine wakes several threads
# per message, which took a sixth of an idle daemon's CPU time. Later versions of
# grpc ignore experiment names that they do not know.
os.environ.setdefault("GRPC_EXPERIMENTS", "-event_engine_client,-event_engine_listener")
