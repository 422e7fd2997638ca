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
# Between instances in direct dispatch.
DIRECT_OPTIONS = (
    # A snapshot contains all upstreams or routes of the store, and a relayed request or
    # response has a body of up to 8 MiB.
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
    *CHANNEL_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    # Ends streams to instances that stopped without closing their connections. On
    # Linux, gRPC also sets TCP_USER_TIMEOUT to the timeout, so that sent data or a
    # probe that stays unacknowledged for as long ends the connection.
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5000),
)
