"""The gateway process: executes the decisions of the policy on sockets."""
