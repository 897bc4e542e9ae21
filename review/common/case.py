"""Runs a case: sets a time limit, ends all processes, and turns the outcome into an exit status."""

import os
import signal
import sys
import threading
import traceback

from cluster import CannotRun, Record

LIMIT_S = 118


def main(record_path, play):
    """`play(record, trouble, made)` hands each cluster to `made`, and returns the list of broken rules."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1")
    record(f"TROUBLE={trouble}")
    made = []

    def stop_all():
        for cluster in made:
            cluster.stop()

    def out_of_time():
        record("the case took too long and was ended")
        for cluster in made:
            for node in cluster.nodes:
                if node.process and node.process.poll() is None:
                    node.process.kill()
        os._exit(2)

    def on_signal(number, _):
        raise CannotRun(f"signal {number}")

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    timer = threading.Timer(LIMIT_S, out_of_time)
    timer.daemon = True
    timer.start()
    status = 2
    try:
        broken = play(record, trouble, made.append)
        for line in broken:
            record(f"BROKEN {line}")
            print("broken:", line)
        status = 1 if broken else 0
        record("the rule was broken" if broken else "the rule held")
    except CannotRun as error:
        record(f"could not run: {error}")
        print("could not run:", error)
    except Exception:
        record(traceback.format_exc())
        traceback.print_exc()
    finally:
        stop_all()
        record(f"exit status {status}")
    sys.stdout.flush()
    os._exit(status)
