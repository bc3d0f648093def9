"""The policy of a gateway: turns events into actions, without I/O.

`gateway.Gateway` is the entry point; it describes the way of a request through the other modules. `events`,
`actions` and `settings` are the interface to what runs the policy: the engine of `rushroad.proxy`, or the
adapter of `rushroad.simulator`.

All times, timestamps as well as durations, are whole microseconds.
"""
