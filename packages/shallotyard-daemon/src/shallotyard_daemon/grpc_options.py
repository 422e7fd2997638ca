"""gRPC options for channels and servers between instances."""

CHANNEL_OPTIONS = (
    ("grpc.so_reuseport", 0),
    # With the default backoff of up to two minutes, an instance would stay
    # unreachable long after its restart.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    # By default, channels to one address share a connection. A new stream would
    # then reuse a connection that no longer delivers data.
    ("grpc.use_local_subchannel_pool", 1),
)
