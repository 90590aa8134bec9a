"""Making the standard library cooperate with green threads."""

import _thread
import gc
import logging
import os
import warnings
import zipfile

# eventlet prints this one message on import, whatever the user does with it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

# Addresses are IP numbers, and the resolver takes memory and time to import.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402

LOCK_COMPLAINT = "RLock(s) were not greened"
LOCK_TYPE = _thread.RLock


def patch_standard_library() -> None:
    """Patch the standard library before the rest of the program is imported.

    The one file of the product is an archive. Its start-up code has opened the
    archive twice by now, and each open archive holds a lock of the unpatched kind.
    eventlet complains of them, but they can do no harm: the start-up code is done
    with the archives, and reading one never switches green threads. The complaint is
    dropped if these are all the locks it can mean, and shown otherwise.
    """
    handler = logging.lastResort
    handler.addFilter(_is_worth_showing)
    try:
        eventlet.monkey_patch()
    finally:
        handler.removeFilter(_is_worth_showing)


def _is_worth_showing(record: logging.LogRecord) -> bool:
    if LOCK_COMPLAINT not in record.getMessage():
        return True
    locks = [item for item in gc.get_objects() if type(item) is LOCK_TYPE]
    return not all(map(_is_of_archive, locks))


def _is_of_archive(lock: object) -> bool:
    return any(isinstance(item, zipfile.ZipFile) for item in gc.get_referrers(lock))
