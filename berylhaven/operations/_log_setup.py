"""Logs by absl, each part with its fixed prefix."""

from absl import flags, logging

from berylhaven.settings import LogSettings


def set_up_logging(settings: LogSettings) -> None:
    """Set the level of the program's log.

    Parameters
    ----------
    settings : LogSettings
        With the level.
    """
    # The program reads no flags of absl's; unmarked, absl warns of that in the log.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(settings.level)


class ComponentLog:
    """The log of one part of the program.

    Its methods are left out of absl's prefix, which names the line that logs.

    Parameters
    ----------
    part : str
        The prefix of each line, without the colon.
    """

    __slots__ = ("_prefix",)

    def __init__(self, part: str) -> None:
        self._prefix = part + ": "

    @logging.skip_log_prefix
    def info(self, sentence: str, *values: object) -> None:
        """Write a line about the ordinary run."""
        logging.info(self._prefix + sentence, *values)

    @logging.skip_log_prefix
    def warning(self, sentence: str, *values: object) -> None:
        """Write a line about something that an operator may look into."""
        logging.warning(self._prefix + sentence, *values)

    @logging.skip_log_prefix
    def error(self, sentence: str, *values: object) -> None:
        """Write a line about something that an operator must look into."""
        logging.error(self._prefix + sentence, *values)

    @logging.skip_log_prefix
    def debug(self, sentence: str, *values: object) -> None:
        """Write a line for developers."""
        logging.debug(self._prefix + sentence, *values)
