"""Hooks that behave runs around features."""

import logging

from godwitloft import events


def before_feature(_context, _feature):
    # A feature that injects thousands of faults raises the log level; reset
    # it for later features, which check log lines.
    logging.getLogger(events.LOGGER_NAME).setLevel(logging.INFO)
