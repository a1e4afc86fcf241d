"""The HTTP server and handler base of the soak's stand-ins."""
import http.server
import json
import socketserver
import threading

from link import reset


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass  # The ledger records the calls.

    def body(self):
        return self.rfile.read(int(self.headers.get("content-length", 0)))

    def reply(self, status, document=None, headers=None, body=None):
        payload = body if body is not None else (b"" if document is None else json.dumps(document).encode())
        self.send_response_only(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    def reset_connection(self):
        self.close_connection = True
        reset(self.connection)


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # Broken connections are expected: the soak kills and cuts off peers.

    def shutdown_request(self, request):
        try:
            super().shutdown_request(request)
        except OSError:
            pass  # The connection was reset on purpose.


def serve(address, handler, owner):
    """Starts a server thread; `handler` finds its state in `server.owner`."""
    server = Server(address, handler)
    server.owner = owner
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.1}, daemon=True).start()
    return server
