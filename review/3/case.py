"""At SIGTERM a request is broken off before the last sixth of Grace."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))

from site_psr import HOST, configuration  # noqa: E402
from standins import Client, Server, run_case  # noqa: E402

GRACE_S = 6.0
# A client sends the request on its kept connection this long after SIGTERM.
SENT_S = 2.0
# When the server would answer it, after SIGTERM: before the last sixth of Grace.
ANSWERED_S = 4.96
DEADLINE_MS = 3000


async def case(deployment, trouble):
    record = deployment.record
    await deployment.add_gateways([("edge-1", "ridge-north"),
                                   ("edge-2", "ridge-north")])
    for i in range(2):
        await deployment.add_server(Server(
            record, deployment.store, "i-paper-%d" % (i + 1), "papertrail",
            "ridge-north", work_s=0.22))
    await deployment.publish(configuration(services={"papertrail": False}))
    await deployment.start()
    stopped = deployment.gateways[0]
    client = Client(record, stopped)
    status, _, _ = await client.send("warm-up", "POST", "/waiver/scan", HOST,
                                     DEADLINE_MS, body=b"w" * 60000)
    assert status == 200, status
    began = asyncio.get_running_loop().time()
    if trouble:
        stopped.signal(signal.SIGTERM)
    # The connection stays in use until the upload.
    for i in range(40):
        if asyncio.get_running_loop().time() - began >= SENT_S - 0.3:
            break
        await client.send("small-%d" % i, "POST", "/waiver/scan", HOST,
                          DEADLINE_MS, body=b"w" * 1000)
    await asyncio.sleep(began + SENT_S - asyncio.get_running_loop().time())
    work_s = began + ANSWERED_S - asyncio.get_running_loop().time()
    status, headers, _ = await client.send(
        "upload", "POST", "/waiver/scan", HOST, DEADLINE_MS, body=b"w" * 60000,
        headers={"X-Work-Ms": "%d" % (work_s * 1000)})
    after_s = asyncio.get_running_loop().time() - began
    record("upload", status=status, after_sigterm="%.3f" % after_s)
    if trouble:
        await asyncio.wait_for(stopped.process.wait(), 10)
        record("ended", gateway=stopped.name, status=stopped.process.returncode)
    begun = [at for server in deployment.servers
             for at, _, request_id in server.begun if request_id == "upload"]
    if status == 200 or not begun:
        return None
    return ("the upload, sent %.1f s after SIGTERM and run by a server, was "
            "answered %d by the gateway after %.2f s; its server would have "
            "answered it 200 at %.2f s" % (SENT_S, status, after_s, ANSWERED_S))


run_case(FOLDER, case)
