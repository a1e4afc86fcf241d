#!/usr/bin/env python3
"""Checks that a stopped process exits within its grace period although open streams would last longer.

    test/soak/stop_test.py --build=build
"""
import argparse
import http.client
import os
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import servers  # noqa: E402
from topology import GRACE_SECONDS, Topology  # noqa: E402

SEED = 777
STREAMS = 6
EVENT_GAP_SECONDS = 2.0  # Twelve events take three times the grace period.
ROUTE_SECONDS = 30


def run_stream(topology, instance, number, outcomes):
    """Reads one stream and records whether it was complete or cut."""
    connection = http.client.HTTPConnection(*instance.callers, timeout=ROUTE_SECONDS)
    try:
        connection.request("POST", f"/stream/{number}", body=b"ask", headers={
            "Host": topology.HOST, "Authorization": "Token key-0", "X-Oleanderfield-Attempt-Id": f"{number:016x}",
            "X-Oleanderfield-Deadline-Ms": str(ROUTE_SECONDS * 1000)})
        answer = connection.getresponse()
        answer.read()
        outcomes.append("whole")
    except (OSError, http.client.HTTPException):
        outcomes.append("cut")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    arguments = parser.parse_args()
    servers.EVENT_GAP_SECONDS = EVENT_GAP_SECONDS
    with tempfile.TemporaryDirectory(prefix="oleander-stop-") as folder:
        topology = Topology(folder, os.path.join(os.path.abspath(arguments.build), "oleanderd"), SEED)
        for route in topology.routes:
            route["timeout_ms"] = ROUTE_SECONDS * 1000
        topology.start()
        instance, outcomes = topology.instances[0], []
        streams = [threading.Thread(target=run_stream, args=(topology, instance, number, outcomes)) for number in range(STREAMS)]
        for stream in streams:
            stream.start()
        time.sleep(1)
        with instance.lock:
            instance.end(signal.SIGTERM, GRACE_SECONDS)
        status = instance.process.returncode
        for stream in streams:
            stream.join()
        topology.stop()
    late = topology.ledger.did_not_end
    good = status == 0 and not late and outcomes == ["cut"] * STREAMS
    print(f"status {status}, not ended in time: {late}, streams: {outcomes}: {'holds' if good else 'BROKEN'}")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
