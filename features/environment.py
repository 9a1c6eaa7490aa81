"""What every feature begins with."""

import logging

from godwitloft import events


def before_feature(_context, _feature):
    # A feature that runs thousands of faults turns the log down; that must
    # not reach the features after it, which look at log lines.
    logging.getLogger(events.LOGGER_NAME).setLevel(logging.INFO)
