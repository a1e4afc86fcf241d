"""Records of a soak: calls and answers, runs at backend servers, faults, and operator changes.

Times are seconds of the monotonic clock, which all parts of the soak share.
"""
import dataclasses
import threading
import time


@dataclasses.dataclass
class Call:
    """One attempt of a caller."""
    attempt: str
    kind: str  # once, repeat, stream or resume.
    key: str
    instance: str
    sent_at: float
    ended_at: float | None = None
    status: int | None = None  # None: no answer.
    sealed: bool = False  # The answer came from a backend server.
    body: bytes = b""
    complete: bool = False  # The whole answer was received.
    left_at: float | None = None  # The caller closed the connection first.
    reused: bool = False  # Sent on a connection that had carried an earlier call.


@dataclasses.dataclass
class Run:
    """One execution of a call by a backend server."""
    attempt: str
    server: str
    started_at: float
    workspace: str
    resumed_after: int
    key_seen: bool
    ended_at: float | None = None


@dataclasses.dataclass
class Disturbance:
    """A fault or planned operation, and the instance or server that it affects ("" for all)."""
    kind: str
    target: str
    started_at: float
    ended_at: float


class Ledger:
    """All records of the soak. Thread-safe."""

    def __init__(self):
        self.lock = threading.Lock()
        self.calls: list[Call] = []
        self.runs: list[Run] = []
        self.disturbances: list[Disturbance] = []
        self.keys: dict[str, str] = {}  # Every credential ever issued, with its workspace.
        self.revoked: dict[str, float] = {}  # When the store acknowledged the revocation of a credential.
        self.left: dict[str, float] = {}  # When the store acknowledged that a server is leaving.
        self.usage: dict[int, list[dict]] = {}  # Accepted reports of each window.
        self.orders: list[tuple[float, str, int]] = []  # Time, holder, fence.
        self.ended_by_itself: list[str] = []
        self.did_not_end: list[str] = []  # Processes that did not exit within their grace period.
        self.answers: dict[str, list[bytes]] = {}  # Complete bodies that servers sent, by attempt.

    def add(self, collection, item):
        with self.lock:
            collection.append(item)
        return item

    def disturb(self, kind, target, seconds):
        now = time.monotonic()
        return self.add(self.disturbances, Disturbance(kind, target, now, now + seconds))

    def note_answer(self, attempt, body):
        with self.lock:
            self.answers.setdefault(attempt, []).append(body)
