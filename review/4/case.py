"""Lost answers make the gateways refuse proper requests for minutes."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))

from site_psr import HOST, configuration  # noqa: E402
from standins import Client, Server, run_case  # noqa: E402

SERVERS = 5
GATEWAYS = 6
# Kiosks show the availability of these boards and read each every two seconds.
BOARDS = 100
READ_INTERVAL_S = 2.0
# Kind answer_lost with the site's dose: share 0.6, x 0.4, for_s 4.
LOSING_SERVERS = 3
LOSS = 0.4
LOSS_S = 4.0
WATCH_S = 40.0
SEED = 34


async def case(deployment, trouble):
    record = deployment.record
    await deployment.add_gateways(
        [("edge-%d" % (i + 1), "ridge-north") for i in range(GATEWAYS)])
    for i in range(SERVERS):
        await deployment.add_server(Server(
            record, deployment.store, "i-gear-%d" % (i + 1), "gearshelf",
            "ridge-north", work_s=0.1, keyed=True))
    await deployment.publish(configuration(services={"gearshelf": True}))
    await deployment.start()
    rng = random.Random(SEED)
    clients = [[Client(record, g) for g in deployment.gateways]
               for _ in range(BOARDS)]
    counts = {"sent": 0, "denied": 0}
    denied_boards = set()

    async def read(board, attempt, gateway):
        request_id = "b%02d-%06d" % (board, counts["sent"])
        counts["sent"] += 1
        status, _, _ = await clients[board][gateway].send(
            request_id, "GET", "/catalog/board-%d" % board, HOST, 2500,
            key=board * 650)
        if 400 <= status < 500 and status not in (408, 421, 429):
            counts["denied"] += 1
            denied_boards.add(board)
        if attempt == 0 and status != 200 and not 400 <= status < 500:
            # A client retries an idempotent request once, at another node.
            await read(board, 1, (gateway + 1) % GATEWAYS)

    async def kiosk(board):
        await asyncio.sleep(rng.random() * READ_INTERVAL_S)
        while True:
            await read(board, 0, rng.randrange(GATEWAYS))
            await asyncio.sleep(READ_INTERVAL_S)

    for board in range(BOARDS):
        deployment.spawn(kiosk(board))
    await asyncio.sleep(4)

    def lose(server, message, by):
        return not message.target.startswith("/catalog/") or rng.random() >= LOSS

    if trouble:
        record("answers-lost", servers=LOSING_SERVERS, share=LOSS, for_s=LOSS_S)
        for server in deployment.servers[:LOSING_SERVERS]:
            server.answer_hook = lose
        await asyncio.sleep(LOSS_S)
        for server in deployment.servers:
            server.answer_hook = None
        record("answers-whole")
    await asyncio.sleep(WATCH_S)
    allowed = 5 + counts["sent"] / 500
    record("counts", sent=counts["sent"], denied=counts["denied"],
           allowed="%.1f" % allowed, boards=sorted(denied_boards))
    if counts["denied"] <= allowed:
        return None
    return ("%d of %d proper requests were ended with a 4xx of the gateway's own "
            "(allowed: %.1f); boards refused: %s" % (
                counts["denied"], counts["sent"], allowed,
                sorted(denied_boards)))


run_case(FOLDER, case)
