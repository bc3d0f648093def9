"""A quota gateway for fleets of rate servers."""
