"""Numbered log events and the function that writes them.

Every log line of the project is one of the events below. The catalogue in
docs/EVENTS.md lists the same events; a test compares them. The number of a
removed event is never reused.
"""

import dataclasses
import enum
import json
import logging
import typing

from twisted.python import log as log_module

LOGGER_NAME = "godwitloft"


class Importance(enum.Enum):
    """Which lines are left out first where there are too many."""

    # A success, of which there is one for each request.
    SAMPLED = "sampled"
    NORMAL = "normal"
    # What tells why a caller lost an answer.
    ESSENTIAL = "essential"


@dataclasses.dataclass(frozen=True)
class Event:
    """One kind of log line.

    :param number: unique number, written as ``GL1001``
    :param level: level of the standard ``logging`` module
    :param text: short description of the event
    :param importance: which of its lines are left out first under load
    """

    number: int
    level: int
    text: str
    importance: Importance = Importance.NORMAL

    @property
    def code(self) -> str:
        """The number in the form written to the log, such as ``GL1001``."""
        return f"GL{self.number}"


STARTED = Event(
    1001, logging.INFO, "the process started", Importance.ESSENTIAL
)
STOPPED = Event(
    1002, logging.INFO, "the process stopped", Importance.ESSENTIAL
)
DRAINING = Event(
    1003,
    logging.INFO,
    "the process accepts no new work",
    Importance.ESSENTIAL,
)
LEAVING = Event(1004, logging.INFO, "the instance was asked to drain")
ABANDONED = Event(
    1005, logging.ERROR, "the drain limit passed with unfinished work"
)
LINK_UP = Event(1101, logging.INFO, "a link to a peer is up")
LINK_DOWN = Event(1102, logging.WARNING, "a link to a peer is down")
LINK_REFUSED = Event(1103, logging.WARNING, "a peer was refused")
LINK_FAILED = Event(
    1104, logging.WARNING, "a connection ended before the peer's hello"
)
REQUEST_REFUSED = Event(1201, logging.INFO, "a request was refused")
OUTCOME_UNKNOWN = Event(
    1203, logging.WARNING, "the outcome of a request is unknown"
)
REQUEST_PLACED = Event(
    1204,
    logging.INFO,
    "a request was sent to an upstream",
    Importance.SAMPLED,
)
REQUEST_ANSWERED = Event(
    1205,
    logging.INFO,
    "a request of a gateway ended",
    Importance.SAMPLED,
)
ANSWER_FAILED = Event(
    1206,
    logging.WARNING,
    "an answer of a gateway failed",
    Importance.ESSENTIAL,
)
ORIGIN_UNKNOWN = Event(
    1207,
    logging.WARNING,
    "it is not known at which version a stream began",
)
STREAM_NOT_SAVED = Event(
    1208,
    logging.WARNING,
    "it could not be saved in time where a stream began",
)
VERSION_CORRECTED = Event(
    1212,
    logging.WARNING,
    "a stream is of another version than was listed",
)
UNKNOWN_END = Event(
    1209,
    logging.INFO,
    "the end of a stream was not known",
    Importance.SAMPLED,
)
ANSWER_UNSENT = Event(
    1210,
    logging.WARNING,
    "the process ended before an answer was sent",
    Importance.ESSENTIAL,
)
REQUEST_UNREAD = Event(
    1211,
    logging.INFO,
    "the process ended before a request was read",
)
UPSTREAM_LISTED = Event(1302, logging.INFO, "the list of upstreams changed")
ROW_SKIPPED = Event(
    1504, logging.WARNING, "a row of the platform can't be used"
)
STORE_FAILED = Event(1505, logging.WARNING, "the platform's store failed")
STORE_RECOVERED = Event(1506, logging.INFO, "the platform's store answers")
USE_LOST = Event(1408, logging.INFO, "what this gateway had used is not saved")
USE_TOLD = Event(1409, logging.INFO, "a peer told what this gateway had used")
USE_RESTORED = Event(
    1410, logging.INFO, "what gateways had used before this start is counted"
)
GRANTS_BEGIN = Event(
    1414, logging.INFO, "a gateway may grant allowances from now on"
)
PEER_RESTARTED = Event(
    1415,
    logging.INFO,
    "a peer has started again, or was cut off, and asks what was used",
)
CUT_OFF = Event(
    1417, logging.INFO, "a gateway that was cut off asks what the others used"
)
PEER_FOUND = Event(
    1416, logging.INFO, "a gateway that was not listed has announced itself"
)
STORE_RESTORED = Event(
    1507, logging.WARNING, "the platform's store was restored from a copy"
)
ROWS_CUT_BACK = Event(
    1508, logging.WARNING, "rows were lost or came back when it was restored"
)
STORE_RESTORED_BEFORE = Event(
    1516, logging.WARNING, "the store was restored before this start"
)
ROWS_CHANGED = Event(
    1515, logging.INFO, "rows of this process had changed in the store"
)
STORED_CONFIGURATION_OUTDATED = Event(
    1509,
    logging.WARNING,
    "the store's configuration is older than a known one",
)
UPSTREAM_LEAVING = Event(
    1303, logging.INFO, "an upstream has said that it is leaving"
)
UPSTREAM_PAUSED = Event(
    1304, logging.INFO, "an upstream asked for a pause of requests"
)
REPORT_FAILED = Event(
    1306, logging.WARNING, "an upstream's report could not be had"
)
REPORT_RECOVERED = Event(1307, logging.INFO, "an upstream reports again")
RETRY_AFTER_IGNORED = Event(
    1305, logging.WARNING, "an upstream's Retry-After can't be used"
)
UPSTREAMS_KEPT = Event(
    1308, logging.INFO, "upstreams that are not listed are kept for a while"
)
UPSTREAM_CRASHED = Event(
    1309, logging.WARNING, "an upstream crashed while it ran requests"
)
CRASH_CAUSE_BLAMED = Event(
    1310,
    logging.WARNING,
    "a request or a part of prompts is blamed for crashes, or cleared",
)
CRASH_CAUSE_TRIED = Event(
    1311, logging.INFO, "a request that is blamed for crashes is tried"
)
VERSION_USED = Event(
    1314, logging.INFO, "a new version of a service is used from now on"
)
BASE_VERSION_SET = Event(
    1315, logging.INFO, "streams of a service without a record have a version"
)
LIFE_UNKNOWN = Event(
    1316,
    logging.INFO,
    "an upstream did not tell whether it is the listed process",
    Importance.SAMPLED,
)
UPSTREAM_LIMITED = Event(1312, logging.INFO, "an upstream's limit has changed")
ROOM_CHANGED = Event(1317, logging.INFO, "the room of an upstream has changed")
LIMIT_IGNORED = Event(
    1313, logging.WARNING, "an upstream's limit can't be used"
)
GATEWAY_ALIVE = Event(
    1108, logging.INFO, "an agent receives messages from a gateway"
)
GATEWAY_SILENT = Event(
    1109, logging.WARNING, "a gateway has stopped sending messages"
)
SETTINGS_LOADED = Event(1006, logging.INFO, "the settings were loaded")
STOP_SIGNALLED = Event(
    1010,
    logging.INFO,
    "a signal asked the process to stop",
    Importance.ESSENTIAL,
)
LINES_DROPPED = Event(
    1011, logging.INFO, "lines of the log were left out", Importance.ESSENTIAL
)
GATEWAY_SATURATED = Event(
    1012,
    logging.WARNING,
    "the gateway's own load has begun or ceased to be too much",
    Importance.ESSENTIAL,
)
GATEWAYS_CHANGED = Event(1407, logging.INFO, "the number of gateways changed")
UPSTREAM_FAILED = Event(1301, logging.WARNING, "an upstream failed a request")
ROLLOUT_STEP = Event(
    1321,
    logging.INFO,
    "a step of a roll-out was written",
    Importance.ESSENTIAL,
)
ROLLOUT_PHASE = Event(
    1322,
    logging.INFO,
    "a roll-out is in another phase from now on",
    Importance.ESSENTIAL,
)
ROLLOUT_STOPPED = Event(
    1323,
    logging.WARNING,
    "nothing more is sent to a new version",
    Importance.ESSENTIAL,
)
ROLLOUT_EVIDENCE = Event(1324, logging.INFO, "what is known of a new version")
CONFIGURATION_IN_FORCE = Event(
    1401, logging.INFO, "a configuration is in force"
)
GENERATION_MISMATCH = Event(
    1402, logging.ERROR, "a peer holds other content for a generation"
)
CONFIGURATION_REFUSED = Event(
    1403, logging.WARNING, "a configuration was refused"
)
FEED_FAILED = Event(1404, logging.ERROR, "following the configuration failed")

OPERATOR_REFUSED = Event(
    1411, logging.WARNING, "a request of an operator was refused"
)
OPERATOR_ACTED = Event(1412, logging.INFO, "an operator changed something")
OPERATOR_CALL_FAILED = Event(
    1413, logging.ERROR, "a request of an operator failed by an internal error"
)
INSTANCE_LIST_UNAVAILABLE = Event(
    1503, logging.WARNING, "the instance list can't be read"
)
PLATFORM_DOWN = Event(
    1501, logging.WARNING, "a service of the platform is considered down"
)
PLATFORM_BACK = Event(
    1502, logging.INFO, "a service of the platform answers again"
)
LEASE_TAKEN = Event(1511, logging.INFO, "a lease was taken")
LEASE_LOST = Event(1512, logging.INFO, "a lease was released or lost")
LEASE_FAILED = Event(1513, logging.ERROR, "keeping a lease failed")
PAUSED = Event(1514, logging.WARNING, "this process was paused")
ORDER_SENT = Event(1521, logging.INFO, "an order was sent to an upstream")
ORDER_FAILED = Event(1522, logging.WARNING, "an order to an upstream failed")
ORDERS_FAILED = Event(
    1523, logging.ERROR, "sending orders to upstreams failed"
)


INTERNAL_ERROR = Event(1009, logging.ERROR, "an internal error was caught")


def log_error(
    event: Event, error: BaseException, **fields: typing.Any
) -> None:
    """Writes one event with a traceback.

    :param event: the event
    :param error: the exception
    :param fields: values that JSON can represent
    """
    logging.getLogger(LOGGER_NAME).log(
        event.level,
        event.text,
        exc_info=error,
        extra={"event": event, "fields": fields},
    )


def log(event: Event, **fields: typing.Any) -> None:
    """Writes one event with its fields.

    :param event: the event
    :param fields: values that JSON can represent
    """
    logger = logging.getLogger(LOGGER_NAME)
    if logger.isEnabledFor(event.level):
        logger.log(
            event.level, event.text, extra={"event": event, "fields": fields}
        )


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line for a record.

        :param record: a record, usually written by :func:`log`
        :return: a JSON object without a newline
        """
        event = getattr(record, "event", None)
        line = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "event": event.code if event else None,
        }
        line.update(getattr(record, "fields", {}))
        line["message"] = record.getMessage()
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class TextFormatter(logging.Formatter):
    """Formats a record as a human-readable line."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line for a record.

        :param record: a record, usually written by :func:`log`
        :return: one line, followed by the traceback if there is one
        """
        event = getattr(record, "event", None)
        fields = getattr(record, "fields", {})
        words = [
            self.formatTime(record),
            record.levelname,
            event.code if event else "-",
            record.getMessage(),
        ]
        words.extend(f"{name}={value!r}" for name, value in fields.items())
        if record.exc_info:
            words.append("\n" + self.formatException(record.exc_info))
        return " ".join(words)


def configure(
    level: str = "info",
    style: str = "json",
    handler: logging.Handler | None = None,
) -> None:
    """Configures the format, level and output of the log.

    :param level: name of a level of the standard ``logging`` module
    :param style: ``json`` or ``text``
    :param handler: output of the log; default: standard error
    """
    handler = handler or logging.StreamHandler()
    formatter = JsonFormatter() if style == "json" else TextFormatter()
    handler.setFormatter(formatter)
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    _show_twisted_errors(handler)


def _show_twisted_errors(handler: logging.Handler) -> None:
    logger = logging.getLogger("twisted")
    logger.handlers[:] = [handler]
    logger.setLevel(logging.ERROR)
    logger.propagate = False
    log_module.PythonLoggingObserver("twisted").start()
