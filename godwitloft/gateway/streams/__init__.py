"""Lets a stream go on only at the software version that began it."""
