"""A test of the memory of an instance whose callers and servers do not read."""

import collections
import pathlib
import re
import subprocess
import sys
import unittest

import eventlet

from berylhaven.gateway.callers._held_bytes import HELD_LIMIT_BYTES
from berylhaven.gateway.tests._gateway_path import (
    HEALTH_PATH,
    ID_HEADER,
    Caller,
    free_address,
    request_bytes,
)
from berylhaven.http1.tests._raw_backend import RawBackend, answer_ok

RESIDENT_LIMIT_BYTES = 60_000_000
EXPORT_BYTES = 540_000
UPLOAD_BYTES = 360_000
PROJECT = pathlib.Path(__file__).parents[3]
# As platform/run.py starts: the standard library is patched before all other imports.
PROGRAM = """
import sys
from berylhaven._patch import patch_standard_library
patch_standard_library()
from berylhaven.gateway.tests._gateway_process import main
main(*sys.argv[1:])
"""
PEAK_PATTERN = re.compile(r"VmHWM:\s+(\d+) kB")


def peak_resident_bytes(pid):
    """Return the peak resident memory of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(PEAK_PATTERN.search(status)[1]) * 1024


def export_body(path):
    return (path.encode() + b".") * (EXPORT_BYTES // (len(path) + 1))


def answer_export(sock, request):
    if request.path == HEALTH_PATH:
        return answer_ok(sock, request)
    body = export_body(request.path) if "/export/" in request.path else b"ok"
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    sock.sendall(head + body)
    return True


class _ForAllPaths:
    def get(self, path, default):
        return answer_export


class UnreadBackend(RawBackend):
    """Reads heads and never the bodies of uploads."""

    def _read_body(self, request, reader):
        if request.path != HEALTH_PATH:
            eventlet.sleep(60.0)


class SlowCallersTest(unittest.TestCase):
    """Hundreds of callers that do not read, and a server that does not read uploads."""

    EXPORT_CALLERS = 150
    # More than what the buffers of the sockets take.
    EXPORTS_PER_CALLER = 8
    UPLOAD_CALLERS = 100
    PIPELINING_CALLERS = 100

    def setUp(self):
        self.server = RawBackend(ID_HEADER)
        self.server.answers = _ForAllPaths()
        self.upload_server = UnreadBackend()
        self.callers_address = free_address()
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-c",
                PROGRAM,
                self.callers_address,
                self.server.address,
                self.upload_server.address,
            ],
            cwd=PROJECT,
            stdout=subprocess.DEVNULL,
            process_group=0,
        )
        self.addCleanup(self._stop)
        self.callers = []
        with eventlet.Timeout(20.0):
            while not self._is_ready():
                eventlet.sleep(0.1)

    def _is_ready(self):
        try:
            with Caller(self.callers_address) as caller:
                return caller.exchange("/read/x").status == 200
        except OSError:
            return False

    def _stop(self):
        self.process.kill()
        self.process.wait()
        for caller in self.callers:
            caller.close()
        self.server.stop()
        self.upload_server.stop()

    def _connect(self):
        caller = Caller(self.callers_address)
        self.callers.append(caller)
        return caller

    def test_memory_stays_bounded_and_late_readers_get_whole_answers(self):
        """An account that misses a kind, or copies answers, exceeds the memory."""
        exporting = [self._connect() for _ in range(self.EXPORT_CALLERS)]
        for number, caller in enumerate(exporting):
            for index in range(self.EXPORTS_PER_CALLER):
                path = f"/export/{number}-{index}"
                caller.send(request_bytes(path, path))
            eventlet.sleep(0.02)
        uploading = [self._connect() for _ in range(self.UPLOAD_CALLERS)]
        body = b"u" * UPLOAD_BYTES
        sending = [
            eventlet.spawn(
                caller.send, request_bytes(f"/upload/{n}", f"u{n}", "POST", body)
            )
            for n, caller in enumerate(uploading)
        ]
        for number in range(self.PIPELINING_CALLERS):
            path = f"/read/{number}"
            self._connect().send(request_bytes(path, path) * 30)
        eventlet.sleep(4.0)
        with Caller(self.callers_address) as caller:
            answer = caller.exchange("/read/y", "y")
            self.assertEqual(answer.status, 200, answer.body)
        statuses = collections.Counter()
        for number, caller in enumerate(exporting):
            for index in range(self.EXPORTS_PER_CALLER):
                answer = caller.answer(20.0)
                statuses[answer.status] += 1
                if answer.status == 200:
                    expected = export_body(f"/export/{number}-{index}")
                    self.assertEqual(answer.body, expected)
                else:
                    self.assertEqual(answer.status, 503, answer.body)
                    self.assertGreater(float(answer.headers["retry-after"]), 0)
        for thread in sending:
            thread.kill()
        peak_bytes = peak_resident_bytes(self.process.pid)
        self.assertLess(peak_bytes, RESIDENT_LIMIT_BYTES, statuses)
        # More answers were kept whole than the account holds at one time.
        self.assertGreater(statuses[200], HELD_LIMIT_BYTES / EXPORT_BYTES)
