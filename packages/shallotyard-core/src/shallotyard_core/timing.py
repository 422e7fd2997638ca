"""Durations of the ownership protocol, in seconds."""

LEASE_TTL_S = 1.5
# Clocks of two machines may run apart by at most this fraction.
DRIFT = 0.01
# A new holder waits for the longest lease of the old one plus the drift.
TAKEOVER_WAIT_S = LEASE_TTL_S * (1 + DRIFT)
RENEWAL_PERIOD_S = 0.25
# Four lost renewals in a row; detection, write, wait and first grant then
# take about 3.2 s of the 4 s within which a key must be served again.
DEAD_AFTER_S = 1.0
# Heartbeats between regions go out once a second; one of them may be lost.
FAR_HEARTBEAT_PERIOD_S = 1.0
FAR_DEAD_AFTER_S = 2.5
# A reader drops a member from the alive set after three missed heartbeats. Others
# learn of it a heartbeat later and count it as dead after DEAD_AFTER_S.
DIRECT_CONTACT_WINDOW_S = 0.75
# Without an answer for this long, the next instance stands in for a reader. The
# others must hear of the members again within DEAD_AFTER_S.
READER_REPLY_TIMEOUT_S = 0.45
# A returned instance hears its members within two heartbeats; its stand-in goes on
# as the reader until then.
READER_RETURN_DELAY_S = 0.5
# Promises extend leases for at most this long after the last store read.
OUTAGE_CAP_S = 7200.0
# Without a store read for this long an instance asks for promises. A store that
# takes up to 0.8 s per read still renews leases by itself, and two rounds of
# promises fit in what is left of a lease.
STORE_STALE_S = 1.1
CONFIGURATION_PERIOD_S = 1.0
TICK_S = 0.05
