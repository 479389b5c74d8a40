"""A machine whose reader of the store is cut off handles requests by an old
configuration for longer than ConfigApply."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))

from site_psr import HOST, configuration  # noqa: E402
from standins import Client, CouldNotRun, Server, run_case  # noqa: E402

ZONES = ("ridge-north", "ridge-south")
CONFIG_APPLY_S = 2.0
# The site cuts a machine from the store for up to 5.5 s.
CUT_S = 2.6
# All machines have the first change this long before the second.
CHANGE_GAP_S = 5.5
ROUNDS = 6
ROUNDS_WITHOUT_TROUBLE = 3
# No round begins later than this after the start.
LAST_ROUND_S = 90
SERVICES = {"gearshelf": True, "bootfit": False, "holdfast": False}


def watch_reads(gateway, store):
    """Notes when the gateway gets answers to its reads of the configuration."""
    gateway.read_at = 0.0
    gateway.has_read = asyncio.Event()

    async def handle(message, link):
        answer = await store.handle(message, link)
        if "log-read" in message.target and "keyed.op" in message.target:
            gateway.read_at = time.monotonic()
            gateway.has_read.set()
        return answer

    gateway.store_link._handler = handle


def find_readers(deployment):
    """The machines of the zone without the leader that read from the store."""
    leader = deployment.leader()
    if leader is None:
        raise CouldNotRun("no leader")
    now = time.monotonic()
    return [gateway for gateway in deployment.gateways
            if gateway.zone != leader.zone and now - gateway.read_at < 1]


async def wait_for_one_reader(deployment, end):
    """Waits until one machine of the zone has read for the others for a while.
    Returns false if that is not so at `end`."""
    since = time.monotonic()
    while time.monotonic() < since + 1.5:
        if time.monotonic() > end:
            return False
        if len(find_readers(deployment)) != 1:
            since = time.monotonic()
        await asyncio.sleep(0.1)
    return True


async def case(deployment, trouble):
    record = deployment.record
    await deployment.add_gateways(
        [("edge-%d" % (i + 1), ZONES[i // 3]) for i in range(6)])
    for gateway in deployment.gateways:
        watch_reads(gateway, deployment.store)
    for service in SERVICES:
        for i in range(2):
            await deployment.add_server(Server(
                record, deployment.store, "i-%s-%d" % (service, i + 1), service,
                "ridge-north", work_s=0.002, keyed=SERVICES[service]))
    version = [0]

    async def publish(service, timeout_ms):
        """Publishes a version; returns when the store has accepted it."""
        version[0] += 1
        await deployment.publish(configuration(
            version=version[0], services=SERVICES,
            changes={"fit-lookup": {"Service": service},
                     "catalog-browse": {"Timeout": "%dms" % timeout_ms}}))
        return time.monotonic()

    await publish("bootfit", 1200)
    await deployment.start()
    await asyncio.sleep(4)
    sent = []  # time, gateway, request id

    async def look_up(gateway, number):
        client = Client(record, gateway)
        while True:
            number += 10
            request_id = "f%07d" % number
            sent.append((time.monotonic(), gateway, request_id))
            await client.send(request_id, "GET", "/fit/profile", HOST, 1200)
            await asyncio.sleep(0.008)

    for i, gateway in enumerate(deployment.gateways):
        deployment.spawn(look_up(gateway, i))
    service, late, number = "bootfit", [], 0
    end = time.monotonic() + LAST_ROUND_S - record.now()
    while number < (ROUNDS if trouble else ROUNDS_WITHOUT_TROUBLE):
        if not await wait_for_one_reader(deployment, end - CHANGE_GAP_S):
            record("no-more-rounds")
            break
        await publish(service, 1300 + number)
        await asyncio.sleep(CHANGE_GAP_S)
        readers = find_readers(deployment)
        if len(readers) != 1:
            record("no-round", readers=",".join(g.name for g in readers))
            continue
        number += 1
        reader = readers[0]
        reader.has_read.clear()
        await asyncio.wait_for(reader.has_read.wait(), 2)
        await asyncio.sleep(0.005)
        if trouble:
            record("cut", gateway=reader.name)
            await reader.store_link.refuse()
        former = service
        service = "holdfast" if former == "bootfit" else "bootfit"
        del sent[:]
        acked = await publish(service, 1300 + number)
        await asyncio.sleep(CUT_S)
        if trouble:
            await reader.store_link.accept()
            record("healed", gateway=reader.name)
        ran_by = {request_id: server for server in deployment.servers
                  for _, _, request_id in server.begun
                  if server.service == former}
        late = [(at - acked, gateway.name, request_id, ran_by[request_id].id)
                for at, gateway, request_id in sent
                if at - acked > CONFIG_APPLY_S and gateway is not reader
                and request_id in ran_by]
        for after, gateway, request_id, server in late:
            record("old-config", after="%.3f" % after, gateway=gateway,
                   id=request_id, server=server, service=former)
        if late:
            break
    if number == 0:
        raise CouldNotRun("no round, all machines read for themselves")
    if not late:
        return None
    return ("%d requests sent up to %.3f s after version %d was acknowledged, "
            "at %s, which reached the store all the time, were run by the "
            "former service %s" % (
                len(late), late[-1][0], version[0],
                " and ".join(sorted({item[1] for item in late})), former))


run_case(FOLDER, case)
