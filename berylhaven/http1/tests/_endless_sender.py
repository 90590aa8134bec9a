"""A server whose answers are given bytes, and may have no end."""

import eventlet

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessSender:
    """Answers each request with the next of some bytes, the last one again and again.

    Parameters
    ----------
    answers : sequence of bytes
        What is sent once for each request.
    endless : bytes
        What is sent without end after the last answer, as fast as it is taken.
    pause_s : float
        The pause between two sends of `endless`.
    """

    def __init__(self, answers, endless=b"", pause_s=0.0):
        self._answers = list(answers)
        self._endless = endless
        self._pause_s = pause_s
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.url = f"http://{self.address}/"
        self.connection_count = 0
        self._threads = [eventlet.spawn(self._accept)]

    def close(self):
        for thread in self._threads:
            thread.kill()
        self._listener.close()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            self.connection_count += 1
            self._threads.append(eventlet.spawn(self._serve, sock))

    def _serve(self, sock):
        try:
            while sock.recv(65_536):
                last = len(self._answers) == 1
                sock.sendall(self._answers[0] if last else self._answers.pop(0))
                while last and self._endless:
                    sock.sendall(self._endless)
                    eventlet.sleep(self._pause_s)
        except OSError:
            pass
        finally:
            sock.close()
