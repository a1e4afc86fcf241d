"""A loopback proxy between two programs whose connections can be delayed, reset, silenced or cut one way."""
import select
import socket
import struct
import threading
import time

CHUNK = 65536
POLL_SECONDS = 0.05


def reset(connection):
    """Closes a connection so that its other side sees a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass  # Closed already.


class Link:
    """Forwards connections to `target`; a change of `mode` takes effect at once.

    open: unchanged; delay: each chunk waits `delay` seconds; silent: nothing passes; one_way: data passes only towards
    the target; reset: open and new connections are reset.
    """

    def __init__(self, address, target):
        self.target = target
        self.mode = "open"
        self.delay = 0.0
        self.stopped = False
        self.listener = socket.create_server(address, backlog=256)
        self.address = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        self.stopped = True
        self.listener.close()

    def _accept(self):
        while not self.stopped:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        if self.mode == "reset":
            reset(client)
            return
        try:
            server = socket.create_connection(self.target, timeout=2)
            server.settimeout(None)
        except OSError:
            reset(client)
            return
        for source, sink, to_target in ((client, server, True), (server, client, False)):
            threading.Thread(target=self._forward, args=(source, sink, to_target), daemon=True).start()

    def _forwards(self, to_target):
        return self.mode in ("open", "delay") or (self.mode == "one_way" and to_target)

    def _forward(self, source, sink, to_target):
        pending = b""
        while not self.stopped:
            if self.mode == "reset":
                reset(source)
                reset(sink)
                return
            if pending and self._forwards(to_target):
                if self.mode == "delay":
                    time.sleep(self.delay)
                try:
                    sink.sendall(pending)
                except OSError:
                    reset(source)
                    return
                pending = b""
            if pending:
                time.sleep(POLL_SECONDS)
                continue
            try:
                if not select.select([source], [], [], POLL_SECONDS)[0]:
                    continue
                pending = source.recv(CHUNK)
            except (OSError, ValueError):  # The other direction may have closed it.
                reset(sink)
                return
            if not pending:
                try:
                    sink.shutdown(socket.SHUT_WR)
                except OSError:
                    pass  # The other direction has ended as well.
                return
