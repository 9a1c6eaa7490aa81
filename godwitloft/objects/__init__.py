"""Named objects that operators publish, and the checks on them."""
