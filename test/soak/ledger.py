"""What the soak saw from outside: what callers sent and got, what backend servers ran, what operators changed.

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
    sealed: bool = False  # The answer is a backend server's own.
    body: bytes = b""
    complete: bool = False  # The answer came to its end.
    left_at: float | None = None  # The caller closed the connection first.
    reused: bool = False  # Sent on a connection that had carried a call.


@dataclasses.dataclass
class Run:
    """One call as a backend server took it."""
    attempt: str
    server: str
    started_at: float
    workspace: str
    resumed_after: int
    key_seen: bool
    ended_at: float | None = None


@dataclasses.dataclass
class Disturbance:
    """A fault or a piece of planned work, and whom it met ("" for all)."""
    kind: str
    target: str
    started_at: float
    ended_at: float


class Ledger:
    """Everything that was seen; safe to use from any thread."""

    def __init__(self):
        self.lock = threading.Lock()
        self.calls: list[Call] = []
        self.runs: list[Run] = []
        self.disturbances: list[Disturbance] = []
        self.keys: dict[str, str] = {}  # Each credential that ever held, with its workspace.
        self.revoked: dict[str, float] = {}  # When the store acknowledged that a credential was taken away.
        self.left: dict[str, float] = {}  # When the store acknowledged that a server leaves.
        self.usage: dict[int, list[dict]] = {}  # Accepted reports of each window.
        self.orders: list[tuple[float, str, int]] = []  # Time, holder, fence.
        self.ended_by_itself: list[str] = []
        self.did_not_end: list[str] = []  # Processes that were still there after their time to stop.
        self.answers: dict[str, list[bytes]] = {}  # Whole bodies that servers made, by attempt.

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
