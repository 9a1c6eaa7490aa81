"""Records the events that a scenario logs."""

import logging

from godwitloft import events


class Recorder(logging.Handler):
    """Keeps the records of the event log."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def fields(self, code):
        """Returns the fields of each line of an event."""
        return [
            record.fields
            for record in self.records
            if getattr(record, "event", None) and record.event.code == code
        ]


def record(context):
    """Returns a recorder that gets all events of a scenario."""
    recorder = Recorder()
    logger = logging.getLogger(events.LOGGER_NAME)
    logger.addHandler(recorder)
    context.add_cleanup(logger.removeHandler, recorder)
    return recorder
