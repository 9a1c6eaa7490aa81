"""Named configuration objects that operators publish, and their checks."""
