"""Workers and clients for the stage."""
import hashlib
import http.client
import http.server
import threading
import time


def receipt_of(body):
    return hashlib.sha256(body).hexdigest()[:24]


class Worker:
    """A worker of a plain service. `answer` gives status, headers and body for a request's id."""

    def __init__(self, stage, instance, service, ip, zone, answer):
        self.instance, self.runs = instance, []
        worker, self.lock = self, threading.Lock()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_request(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                identifier = self.headers.get("X-Request-Id", "")
                if self.headers.get("X-Expect-Instance", instance) != instance:
                    return self.send(421, {"X-Not-Executed": "1"}, b"", identifier)
                with worker.lock:
                    worker.runs.append((time.monotonic(), identifier, len(body)))
                return self.send(*answer(identifier, body), identifier)

            do_GET = do_POST = handle_request

            def send(self, status, headers, body, identifier):
                self.send_response(status)
                self.send_header("X-Request-Id", identifier)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *arguments):
                pass

        server = http.server.ThreadingHTTPServer((ip, 0), Handler)
        server.daemon_threads = True
        server.handle_error = lambda *arguments: None  # A caller that has left.
        threading.Thread(target=server.serve_forever, daemon=True).start()
        stage.instances.append({
            "id": instance, "service": service, "address": f"{ip}:{server.server_address[1]}",
            "zone": zone, "version": "v1", "capacity": 64, "state": "ready",
            "warmup-left-ms": 0, "born": int(time.time() * 1000)})


class Client:
    """A client with a kept channel."""

    def __init__(self, ip, port, timeout):
        self.connection = http.client.HTTPConnection(ip, port, timeout=timeout)

    def request(self, method, path, identifier, deadline_ms, body=None, others=None):
        """Status, headers and body of the answer, or (None, {}, reason)."""
        headers = {"Host": "review.example", "X-Request-Id": identifier,
                   "X-Deadline-Ms": str(deadline_ms), "Authorization": "Bearer key-0"} | (others or {})
        try:
            self.connection.request(method, path, body=body, headers=headers)
            answer = self.connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        except (OSError, http.client.HTTPException) as error:
            self.connection.close()
            return None, {}, type(error).__name__


def wait_until_ready(stage, node, seconds):
    """Whether the node answered its readiness check with 200."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        connection = http.client.HTTPConnection(node.ip, stage.ready_port, timeout=1)
        try:
            connection.request("GET", "/ready")
            if connection.getresponse().status == 200:
                return True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        time.sleep(0.2)
    return False
