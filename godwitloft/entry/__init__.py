"""The entry daemon, which serves callers and operators."""
