"""What is known of the upstreams, from the list and from themselves."""
