"""Tests of the WSGI application of the peers' port."""

import io
import unittest
from unittest import mock

from berylhaven.exchange import (
    PeerAnswer,
    PeersApplication,
    PeerTraffic,
    register_peer_endpoint,
)


class Echo:
    """Returns the request body; answers 404 to an empty one and 400 to "bad"."""

    def answer(self, request):
        if request.body == b"bad":
            raise ValueError("malformed")
        return PeerAnswer(request.body) if request.body else None


class PeersApplicationTest(unittest.TestCase):
    """Each path has one endpoint, and errors have the matching status."""

    def send_request(self, path, body):
        heads = []
        environ = {
            "PATH_INFO": path,
            "REQUEST_METHOD": "POST",
            "wsgi.input": io.BytesIO(body),
        }
        application = PeersApplication({"/echo": Echo()}, PeerTraffic())
        answer = application(environ, lambda status, headers: heads.append(status))
        return heads[0], b"".join(answer)

    def test_an_endpoint_answers_its_path_and_no_other(self):
        self.assertEqual(self.send_request("/echo", b"{}"), ("200 OK", b"{}"))
        self.assertEqual(self.send_request("/other", b"{}")[0], "404 Not Found")
        self.assertEqual(self.send_request("/echo", b"")[0], "404 Not Found")
        self.assertEqual(self.send_request("/echo", b"bad")[0], "400 Bad Request")

    def test_a_path_has_one_endpoint(self):
        with mock.patch.dict("berylhaven.exchange._peer_endpoint._ENDPOINTS"):
            register_peer_endpoint("/v1/test-only")(type("First", (), {}))
            with self.assertRaises(ValueError):
                register_peer_endpoint("/v1/test-only")(type("Second", (), {}))
