"""Stand-ins for a gateway's peers, which speak the published protocols on loopback, all in one process."""
