"""Patches the standard library to cooperate with green threads."""

import _thread
import gc
import logging
import os
import warnings
import zipfile

# eventlet issues this warning on every import, however it is used.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

# All addresses are IP numbers, and importing the resolver takes memory and time.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402

from berylhaven.clock import use_turn_hub  # noqa: E402

LOCK_WARNING = "RLock(s) were not greened"
LOCK_TYPE = _thread.RLock


def patch_standard_library() -> None:
    """Patch the standard library before the rest of the program is imported.

    The hub of the main thread handles input before timers that are overdue.

    The product is a single archive file. Its start-up code has opened the archive twice
    by now, and each open archive holds an unpatched lock. eventlet warns of these
    locks, but they are harmless: the start-up code no longer uses the archives, and
    reading one never switches green threads. The warning is suppressed if all locks
    that it can refer to belong to archives, and shown otherwise.
    """
    use_turn_hub()
    handler = logging.lastResort
    handler.addFilter(_is_relevant)
    try:
        eventlet.monkey_patch()
    finally:
        handler.removeFilter(_is_relevant)


def _is_relevant(record: logging.LogRecord) -> bool:
    if LOCK_WARNING not in record.getMessage():
        return True
    locks = [item for item in gc.get_objects() if type(item) is LOCK_TYPE]
    return not all(map(_is_held_by_archive, locks))


def _is_held_by_archive(lock: object) -> bool:
    return any(isinstance(item, zipfile.ZipFile) for item in gc.get_referrers(lock))
