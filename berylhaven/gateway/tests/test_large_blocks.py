"""A test of the memory of large buffers in a process of its own."""

import subprocess
import sys
import unittest

ANSWER_BYTES = 31_000_000
# One of the two that grow at a time is in memory before.
LIMIT_BYTES = ANSWER_BYTES * 3 // 2
# Grows two buffers at a time, and prints by how much the peak of the memory rises.
PROGRAM = """
import re, sys
from berylhaven.gateway._large_blocks import map_large_blocks

def peak_bytes():
    status = open("/proc/self/status").read()
    return int(re.search(r"VmHWM:\\s+(\\d+) kB", status)[1]) * 1024

map_large_blocks()
bytearray(int(sys.argv[1]))
former_bytes = peak_bytes()
kept = []
for _ in range(3):
    buffers = [bytearray(), bytearray()]
    while len(buffers[0]) < int(sys.argv[1]):
        for buffer in buffers:
            buffer += bytes(65_536)
        kept.append(bytes(1_000))
    del buffers, buffer
print(peak_bytes() - former_bytes)
"""


class LargeBlocksTest(unittest.TestCase):
    def test_a_buffer_that_grows_again_takes_no_more_than_before(self):
        """The process would take more than its account of held bytes tells."""
        result = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", PROGRAM, str(ANSWER_BYTES)],
            capture_output=True,
            check=True,
        )
        self.assertLess(int(result.stdout), LIMIT_BYTES)
