"""A request scheduler for unlike engines."""

__version__ = "0.1.0"
