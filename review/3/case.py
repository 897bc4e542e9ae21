"""The network holds the body of a repeated submission back for four seconds."""

import http.client
import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

from case import main  # noqa: E402
from cluster import Cluster, Proxy  # noqa: E402

HELD_S = 4.0
USER_WAITS_S = 5.0


def repeat_submission(record, node, job, hold):
    """Submits through a proxy. The head of the request passes; the body is held back if `hold` says so, and then
    delivered. Returns the status that the user sees, 0 for none in time."""
    proxy = Proxy(node.public)
    body = json.dumps({field: value for field, value in job.items() if field != "runS"}).encode()
    connection = http.client.HTTPConnection(proxy.address, timeout=USER_WAITS_S)
    try:
        connection.putrequest("POST", "/api/jobs")
        connection.putheader("Content-Type", "application/json")
        connection.putheader("Content-Length", str(len(body)))
        connection.endheaders()
        time.sleep(0.1)
        if hold:
            proxy.set("hold")
            threading.Timer(HELD_S, proxy.set, ("pass",)).start()
        began = time.monotonic()
        connection.send(body)
        response = connection.getresponse()
        status, text = response.status, response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        status, text = 0, str(error)
    finally:
        connection.close()
        proxy.close()
    record(f"user: repeats {job['id']} at {node.label}, body held {HELD_S if hold else 0} s: {status} {text} "
           f"after {time.monotonic() - began:.1f} s")
    return status


def play(record, trouble, made):
    cluster = Cluster(record, at_start=1)
    made(cluster)
    cluster.start()
    job = cluster.job(1, picks=1, runS=60.0)
    if not cluster.submit(job):
        return []
    time.sleep(2)
    cluster.poll(job)
    statuses = [repeat_submission(record, node, job, trouble == "1") for node in cluster.nodes]
    cluster.poll(job)
    return [
        f"forgotten: {job['id']} was accepted, and a repeated, sound submission of it gets {status} from {node.label}"
        for node, status in zip(cluster.nodes, statuses) if status in (400, 422)
    ]


if __name__ == "__main__":
    main(os.path.join(FOLDER, "record.txt"), play)
