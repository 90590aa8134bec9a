"""Tests of routes of each kind, and of routes that could not be decoded."""

import unittest

from berylhaven.gateway.tests._gateway_path import (
    HOST,
    ORDERS,
    READS,
    GatewayPath,
    configuration,
    route,
)
from berylhaven.http1.tests._raw_backend import answers_raw
from berylhaven.routes import RequestKind, unusable_route

FAILED = answers_raw(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")


class RouteKindsTest(unittest.TestCase):
    def setUp(self):
        routes = (
            route("/read/"),
            route("/", service=READS),
            route("/order/", RequestKind.ONCE_ONLY, ORDERS),
            route("/report/", RequestKind.DOWNLOAD, READS),
            unusable_route("broken", HOST, "/read/broken/", "field is missing"),
        )
        self.path = GatewayPath(configuration(routes=routes))
        self.addCleanup(self.path.stop)

    def exchange(self, path):
        with self.path.connect() as caller:
            return caller.exchange(path)

    def test_a_request_of_an_unusable_route_is_refused_and_not_sent(self):
        answer = self.exchange("/read/broken/1")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.assertEqual(self.path.requests(READS), [])
        self.assertEqual(self.exchange("/read/1").status, 200)

    def test_a_failed_download_is_sent_to_a_second_server(self):
        self.path.answer_all(READS, FAILED)
        self.assertEqual(self.exchange("/report/1").status, 500)
        self.assertEqual(len(self.path.requests(READS)), 2)

    def test_a_failed_once_only_request_is_not_sent_again(self):
        self.path.answer_all(ORDERS, FAILED)
        self.assertEqual(self.exchange("/order/1").status, 500)
        self.assertEqual(len(self.path.requests(ORDERS)), 1)
