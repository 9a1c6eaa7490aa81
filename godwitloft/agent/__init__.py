"""The daemon beside each upstream."""
