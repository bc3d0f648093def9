"""The gateway process: carries the decisions of the policy out on sockets."""
