"""Shares the allowances of teams among gateways."""
