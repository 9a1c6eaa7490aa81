"""An entry that places requests on upstreams without an agent's relay."""
