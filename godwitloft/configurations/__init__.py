"""Checks and compares configurations of gateways before they are sent."""
