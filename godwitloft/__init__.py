"""A request scheduler for engines of different kinds."""

__version__ = "0.1.0"
