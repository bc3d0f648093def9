"""The decisions of a gateway: events in, actions out, with no I/O."""
