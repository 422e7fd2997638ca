"""The router daemon."""

import os

# grpc reads this when it is first imported. Its event engine wakes several threads
# for each message, which cost an idle daemon a sixth of its processor time. A name
# that a later version does not know is ignored.
os.environ.setdefault("GRPC_EXPERIMENTS", "-event_engine_client,-event_engine_listener")
