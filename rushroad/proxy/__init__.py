"""The gateway process: executes the decisions of the policy on sockets.

clients       `client_listener` accepts connections, which `connection_table` limits; `client_connection` and
              `client_command` turn commands into requests to the engine, and write the answers.
engine        `engine` passes requests and all other events to the policy, and executes its actions.
rate servers  `upstream` runs the attempts on connections, of which `endpoint_pool` has those of one endpoint;
              `upstream_response` decodes the responses.
counter       `counter_client` makes the calls to the shared counter on each `counter_connection`.
endpoints     `discovery` watches the endpoint list, which `endpoint_decoder` decodes in parts; `__main__`
              passes each part to `upstream` and the engine.
process       `__main__` starts the components with the values that `configuration` reads; `shutdown` stops
              them.
"""
