"""A machine stops just after a gang of 500 tasks was done, before it could report that its tasks were."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from region import BROKEN, HELD, TROUBLE, NotRun, Region, job, main  # noqa: E402

# A task that is started again exits with `done` at once; the machine is found lost within its lease of 27 s.
PATIENCE_S = 75.0
ZONES = ["alappuzha-room", "kollam-room", "kottayam-room", "thiruvalla-room"]
RIG = {"sku": "render-box", "vcpus": 32.0, "accelerators": 4.0, "memoryGb": 192.0, "localGb": 150.0,
       "fetchGbPerS": 0.5, "price": 10.7, "marketPrice": 3.64, "bootS": 5.0, "yards": ZONES}


async def case(record):
    region = Region(
        record, ["thiruvalla-room", "alappuzha-room", "kottayam-room"], ZONES,
        [{"name": "archive-team", "cpus": 0.0, "cpus_max": 0.0, "gpus": 24.0, "gpus_max": 64.0}],
        {"rps": 100.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 20},
        {"report_s": 3.0, "lease_s": 27.0, "gang_wait_s": 50.0, "gang_peer_s": 5.0, "cancel_s": 52.0},
        rigs=[RIG], capacity={zone: 2 for zone in ZONES})
    try:
        return await play(region)
    finally:
        region.close()


async def play(region):
    await region.prepare()
    for zone in ZONES:
        for _ in range(1):
            await region.cloud.add(RIG, zone, False, 0)
    for index in range(3):
        region.start(index)
    for index in range(3):
        if not await region.ready(index, 10):
            raise NotRun(f"tiller-{index} did not become ready")
    await asyncio.sleep(4)
    done = asyncio.get_running_loop().create_future()

    def on_gang_done(gang):
        if TROUBLE:
            worker, _ = gang.tasks["job-000001/499"]
            region.log("machine", f"{worker.name} stops with all that is on it")
            worker.stop()
            region.cloud.machines[worker.name]["stage"] = "failed"
        if not done.done():
            done.set_result(time.monotonic())

    region.on_gang_done = on_gang_done
    gang = job(1, lot="upscale-archive", crew="archive-team", shape="gang", rank="urgent", picks=500, vcpus=0.18,
               accelerators=0.0, memoryGb=1.0)
    if not await region.submit(gang, 6.0, 5.0):
        raise NotRun("the gang was not accepted")
    try:
        since = await asyncio.wait_for(done, 32 if TROUBLE else 100)
    except asyncio.TimeoutError:
        raise NotRun("the gang did not run") from None
    state, answers = {}, Counter()
    while time.monotonic() - since < PATIENCE_S and state.get("stage") != "done":
        status, answer = await region.poll("job-000001")
        answers[status] += 1
        state = answer if status == 200 else state
        await asyncio.sleep(2.0)
    again = [pick for pick, times in region.starts.items() if len(times) > 1]
    text = (f"{time.monotonic() - since:.0f} s after all tasks were done the job is called {state}; answers {dict(answers)}; "
            f"tasks started again {len(again)}; ended by itself: {region.ended_by_itself()}")
    region.log("verdict", text)
    print(text)
    if region.twice:
        raise NotRun("a task ran twice, which this case is not about")
    return HELD if state.get("stage") == "done" else BROKEN


if __name__ == "__main__":
    main(case, Path(__file__).parent)
