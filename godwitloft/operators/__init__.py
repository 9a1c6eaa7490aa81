"""The operators' API, and reference pages generated from the code."""
