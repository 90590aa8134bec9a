"""Test of an upload whose backend server starts to leave before it ends."""

import copy
import unittest

from berylhaven.proxy.tests._proxy_path import BOOKINGS, ProxyPath, get, post

BODY = b"x" * 90_000
SENT_FIRST_BYTES = 70_000


class LongDeadlinePath(ProxyPath):
    """Uses a deadline of 60 s, so that calls do not expire on a busy machine."""

    catalogue = ProxyPath.catalogue.replace(
        b"deadline_ms = 2000", b"deadline_ms = 60000"
    )


class UploadWhileServerLeavesTest(unittest.TestCase):
    """A call in flight keeps its connection; new calls are not sent to the server."""

    def setUp(self):
        self.path = LongDeadlinePath()
        self.addCleanup(self.path.stop)

    def leave(self):
        document = copy.deepcopy(self.path.instance_list.visible_document())
        for row in document["backend_servers"]:
            row["state"] = "leaving"
        self.path.instance_list.put(document)

    def test_the_upload_ends_whole_and_no_new_call_comes(self):
        bookings = self.path.raw["bookings"]
        with self.path.connect() as caller:
            caller.send(post(BOOKINGS + "/x", f"Content-Length: {len(BODY)}"))
            caller.send(BODY[:SENT_FIRST_BYTES])
            self.path.wait_until(lambda: bookings.requests)
            self.leave()
            self.path.wait_until(lambda: self.answer_to_new_call().status == 503)
            request_count = len(bookings.requests)
            self.assertEqual(self.answer_to_new_call().status, 503)
            self.assertEqual(len(bookings.requests), request_count)
            caller.send(BODY[SENT_FIRST_BYTES:])
            answer = caller.answer()
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        self.assertEqual(bookings.requests[0].body, BODY)
        self.assertTrue(bookings.requests[0].is_complete)

    def answer_to_new_call(self):
        return self.path.exchange(get(BOOKINGS + "/new", "Berylhaven-Timeout-Ms: 500"))
