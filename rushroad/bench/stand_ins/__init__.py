"""Stand-ins for what a gateway talks to, over the published protocols on loopback, in one process."""
