"""A quota gateway for fleets of rate servers.

`policy` makes all decisions, without I/O; `proxy` is the gateway process, which executes them; `simulator`
runs the same policy under the deployment simulator; `bench` measures gateways, real and simulated ones.
"""
