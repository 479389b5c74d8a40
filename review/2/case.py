"""A grant whose answer was lost is forgotten when the next connection is refused."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))

from judge import double_owners  # noqa: E402
from site_psr import HOST, ZONES, configuration  # noqa: E402
from standins import Client, CouldNotRun, Server, run_case  # noqa: E402

SERVERS = 5
GATEWAYS = 4
CLIENTS = 12
# A leader waits 10.6 s before it gives keys away, so let that time pass first.
CALM_S = 12.5
# Kind applied_late: an order is carried out 2 to 12 s later, without an answer.
LATE_S = 2.0
# The path is cut at some time while the order is unanswered (at most 1 s).
CUT_DELAY_S = 0.5
# Kind srv_cut is at most 10 s long.
CUT_S = 8.0


async def case(deployment, trouble):
    record = deployment.record
    await deployment.add_gateways(
        [("edge-%d" % (i + 1), ZONES[i]) for i in range(GATEWAYS)])
    for i in range(SERVERS):
        await deployment.add_server(Server(
            record, deployment.store, "i-gear-%d" % (i + 1), "gearshelf",
            "ridge-north", work_s=0.3, keyed=True))
    await deployment.publish(configuration(services={"gearshelf": True}))
    await deployment.start()
    await asyncio.sleep(CALM_S)
    leader = deployment.leader()
    if leader is None:
        raise CouldNotRun("no leader")
    victim = deployment.servers[1]
    first, last = victim.hold_log[-1][:2]
    number = [0]

    async def browse(gateway, offset):
        client = Client(record, gateway)
        while True:
            number[0] += 1
            await client.send("r%06d" % number[0], "GET", "/catalog/item", HOST,
                              2500, key=first + (number[0] * 101 + offset) %
                              (last - first + 1))
            await asyncio.sleep(0.02)

    others = [g for g in deployment.gateways if g is not leader]
    for i in range(CLIENTS):
        deployment.spawn(browse(others[i % len(others)], i))
    unanswered = asyncio.Event()
    known_until = [0.0]  # when the grants that were answered end

    def leave_unanswered(server, kind, by, body):
        if kind != "grant" or by != leader.name:
            return 0, True
        until = record.now() + float(body["Hold"].removesuffix("ms")) / 1000
        if unanswered.is_set() or (
                known_until[0] > 0 and until > known_until[0] + 0.5):
            unanswered.set()
            return LATE_S, False
        known_until[0] = max(known_until[0], until)
        return 0, True

    if trouble:
        victim.order_hook = leave_unanswered
        await asyncio.wait_for(unanswered.wait(), 15)
        await asyncio.sleep(CUT_DELAY_S)
        victim.order_hook = None
        record("cut", server=victim.id, gateway=leader.name)
        await victim.links[leader.name].refuse()
    await asyncio.sleep(CUT_S)
    if trouble:
        await victim.links[leader.name].accept()
        record("healed", server=victim.id, gateway=leader.name)
    await asyncio.sleep(1)
    found = double_owners(deployment.servers)
    for item in found:
        record("double", overlap="%.3f" % item[0],
               servers="%s,%s" % item[1:3], keys="%d-%d" % item[3:5],
               begun="%d,%d" % item[5:7])
    if not found:
        return None
    return ("%s and %s held keys %d-%d together for %.2f s and began %d and %d "
            "requests on them" % (found[0][1], found[0][2], found[0][3],
                                  found[0][4], found[0][0], *found[0][5:]))


run_case(FOLDER, case)
