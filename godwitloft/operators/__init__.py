"""The operators' API, and the reference pages that are made from the code."""
