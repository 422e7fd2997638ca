"""Times of grants that the owner, the network and the granter rely on."""

# A grant arrives at most this long after its send deadline: its connection is reset
# shortly before, and the bytes sent by then take one trip.
GRANT_TRANSIT_S = 0.45
# A grant that has waited longer than this in this process is not sent.
GRANT_SEND_TIMEOUT_S = 0.2
