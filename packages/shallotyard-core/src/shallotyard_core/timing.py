"""Durations of the ownership protocol, in seconds."""

LEASE_TTL_S = 1.5
# Largest relative difference between the clock rates of two machines.
DRIFT = 0.01
# A new holder waits for the longest lease of the previous one plus the clock drift.
TAKEOVER_WAIT_S = LEASE_TTL_S * (1 + DRIFT)
RENEWAL_PERIOD_S = 0.25
# Four lost renewals in a row. Detection, assignment write, takeover wait and first
# grant then take about 3.2 s of the 4 s within which a key must be served again.
DEAD_AFTER_S = 1.0
# Heartbeats between regions are sent once a second; the time-out tolerates the loss
# of one.
INTER_REGION_HEARTBEAT_PERIOD_S = 1.0
INTER_REGION_DEAD_AFTER_S = 2.5
# A reader removes a member from its view after three missed heartbeats. Other
# instances receive the new view one heartbeat later and count the member as dead
# after DEAD_AFTER_S.
DIRECT_CONTACT_WINDOW_S = 0.75
# A reader that has not replied for this long is replaced by the next instance. The
# new reader's view must reach the other instances within DEAD_AFTER_S, or they count
# the members of the failure domain as dead.
READER_REPLY_TIMEOUT_S = 0.45
# A reader that was silent receives heartbeats of its members within two heartbeat
# periods; the instance that replaced it stays the reader until then.
READER_RETURN_DELAY_S = 0.5
# Promises extend leases for at most this long after the last store read.
OUTAGE_CAP_S = 7200.0
# Without a store read for this long, an instance requests promises. A store that
# takes up to 0.8 s per read still renews leases on its own, and two rounds of
# promises fit into the remaining time of a lease.
STORE_STALE_S = 1.1
CONFIGURATION_PERIOD_S = 1.0
TICK_S = 0.05
