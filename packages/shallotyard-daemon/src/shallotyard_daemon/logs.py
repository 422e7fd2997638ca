"""Structured logging: one JSON line per decision."""

import logging
import sys
import time

from pythonjsonlogger.orjson import OrjsonFormatter

LOGGER = logging.getLogger("shallotyard")
_ERROR_DECISIONS = frozenset({"invariant-violation", "internal-error", "task-failed"})
_MAX_BUFFERED_LINES = 256


class DecisionFormatter(OrjsonFormatter):
    """Formats a log record as a JSON line.

    The base class copies and renames all attributes of a record. This takes seven
    times as long, and each request logs two lines.

    :param instance: instance id added to each line.
    """

    def __init__(self, instance):
        super().__init__(["message"])
        self.instance = instance
        self._formatted_second = 0
        self._formatted_time = ""

    def format(self, record):
        """Return a record as a JSON line."""
        second = int(record.created)
        if second != self._formatted_second:
            self._formatted_second = second
            self._formatted_time = time.strftime(
                "%Y-%m-%dT%H:%M:%S", time.gmtime(second)
            )
        line = {
            "time": f"{self._formatted_time}.{int(record.msecs):03d}Z",
            "level": record.levelname,
            "instance": self.instance,
            "decision": record.getMessage(),
        }
        line.update(getattr(record, "fields", ()))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        try:
            return self.jsonify_log_record(line)
        except (TypeError, ValueError):
            # A field that JSON cannot express must not end what logs it.
            return self.jsonify_log_record(
                {name: _escape(value) for name, value in line.items()}
            )


def _escape(value):
    """Return a value as text that JSON can express."""
    text = value if isinstance(value, str) else repr(value)
    return text.encode("utf-8", "backslashreplace").decode()


class BatchHandler(logging.Handler):
    """Buffers lines until the buffer is full, an error is logged or `flush` is called.

    :param stream: text stream to write to.
    """

    def __init__(self, stream):
        super().__init__()
        self.stream = stream
        self.lines = []

    def emit(self, record):
        """Format and buffer a record."""
        self.lines.append(self.format(record))
        if len(self.lines) >= _MAX_BUFFERED_LINES or record.levelno >= logging.ERROR:
            self.flush()

    def flush(self):
        """Write the buffered lines."""
        if self.lines:
            self.stream.write("\n".join(self.lines) + "\n")
            self.lines.clear()
            self.stream.flush()


def configure_logs(level, instance, stream=sys.stdout):
    """Configure logging as JSON lines.

    :param level: name of the lowest level to write.
    :param instance: instance id added to each line.
    :param stream: text stream to write to.
    """
    handler = BatchHandler(stream)
    handler.setFormatter(DecisionFormatter(instance))
    LOGGER.handlers[:] = [handler]
    LOGGER.setLevel(level.upper())
    LOGGER.propagate = False
    # Errors logged by libraries are written as JSON lines too.
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.ERROR)
    # tornado's messages about malformed requests contain header values, such as keys.
    logging.getLogger("tornado.general").setLevel(logging.CRITICAL)


def flush_logs():
    """Write the buffered lines of all handlers."""
    for handler in LOGGER.handlers:
        handler.flush()


def log_decision(effect):
    """Carry out a `LogDecision` effect."""
    level = logging.ERROR if effect.decision in _ERROR_DECISIONS else logging.INFO
    if not LOGGER.isEnabledFor(level):
        return
    # Created here, because Logger.log walks the stack to find its caller.
    record = logging.LogRecord(LOGGER.name, level, "", 0, effect.decision, None, None)
    record.fields = {"reason": effect.reason, **effect.fields}
    LOGGER.handle(record)
