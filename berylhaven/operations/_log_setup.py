"""Logging by absl, with a fixed prefix for each component."""

from absl import flags, logging

from berylhaven.settings import LogSettings


def set_up_logging(settings: LogSettings) -> None:
    """Set the log level of the process.

    Parameters
    ----------
    settings : LogSettings
        Gives the log level.
    """
    # The program parses no absl flags; absl logs a warning unless they are marked.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(settings.level)


class ComponentLog:
    """The log of one component of the program.

    Its methods are skipped when absl determines the source line for its log prefix.

    Parameters
    ----------
    component : str
        The prefix of each line, without the colon.
    """

    __slots__ = ("_prefix",)

    def __init__(self, component: str) -> None:
        self._prefix = component + ": "

    @logging.skip_log_prefix
    def info(self, message: str, *values: object) -> None:
        """Write a line about normal operation."""
        logging.info(self._prefix + message, *values)

    @logging.skip_log_prefix
    def warning(self, message: str, *values: object) -> None:
        """Write a line about a condition that an operator may investigate."""
        logging.warning(self._prefix + message, *values)

    @logging.skip_log_prefix
    def error(self, message: str, *values: object) -> None:
        """Write a line about a condition that an operator must investigate."""
        logging.error(self._prefix + message, *values)

    @logging.skip_log_prefix
    def debug(self, message: str, *values: object) -> None:
        """Write a line for developers."""
        logging.debug(self._prefix + message, *values)
