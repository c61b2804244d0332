"""WHOLE: a piece turns bad at a model replica while the machine of its agent is frozen between the check of the pieces and the order to start."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import common
from model_server import MODEL, PIECES, PIECE_BYTES, SLOTS, ModelServer, Origin, Weights

AGENTS = 2
FREEZE_S = 4.0        # node_freeze of the site file: for_s = 4.0
AFTER_CHECK_S = 0.2   # from the last piece that is checked to the freeze; the agent then waits up to 1.4 s for streams to end
SPOILT_AFTER_S = 0.1  # from the freeze until a piece turns bad
CLIENTS = 12          # one stream after the other
WATCH_S = 4           # after the order
START_LIMIT_S = 25    # from the naming until all replicas have the new version
SERVICE, ORIGIN = "huvo11a", "kafi81c"


def config(origin):
    engine = {"Slots": SLOTS, "KvCapacityTokens": 317000, "KvTokenBytes": 262144, "LinkMbps": 400000.0, "stride": 5,
              "Models": [{"Name": MODEL, "pace": 1.0, "load_s": 4.0, "WarmS": 0.3}], "mb": 149000.0, "step_ms": 9.27, "per_seq_ms": 0.0232,
              "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0,
              "usual": {"prompt": 979, "answer": 92}, "layers": 16, "layer_mb": 4090.0, "chunks": PIECES, "chunk_bytes": PIECE_BYTES}
    route = {"Name": "r-1", "Host": "jepu9.example", "PathPrefix": "/lepu270/", "Kind": "streaming", "TimeoutMs": 6000, "GoalMs": 500, "Priority": 1,
             "Service": SERVICE, "MaxAttempts": 2, "Public": True, "Sticky": True, "Resumable": True, "gap_aim_ms": 400}
    return {"Version": 1, "Routes": [route],
            "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 424, "Engine": engine},
                         {"Name": ORIGIN, "origin": origin, "Zone": "groningen-1", "LinkMbps": 7.3, "MaxConns": 48}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}, "Tenants": []}


async def client(number, site, record, state):
    count = 0
    await asyncio.sleep(number * 0.15)  # so that streams don't end together
    while not state["over"]:
        count += 1
        ident = f"c{number}-{count}"
        try:
            reader, writer = await asyncio.open_connection(site.routers[0].ip, site.front)
            record(f"client: sends {ident}")
            writer.write((f"POST /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {ident}\r\nX-Model-Name: {MODEL}\r\n"
                          f"X-Token-Counts: 400,100\r\nX-Prompt-Prefix: 5c1e07a2:40,{number:x}{count:04x}:360\r\nX-Deadline-Remaining: 6000\r\n"
                          "Connection: close\r\nContent-Length: 2\r\n\r\nhi").encode())
            got = await asyncio.wait_for(reader.read(), 8)
            writer.close()
            status = got.split(b" ", 2)[1].decode() if got else "none"
            whole = got.endswith(b"0\r\n\r\n")
            record(f"client: {ident} gets {status}, {got.count(b'data: ')} events, {'whole' if whole else 'not whole'}")
            state["answers"][status] = state["answers"].get(status, 0) + 1
            if status != "200":
                await asyncio.sleep(0.3)
        except (OSError, asyncio.TimeoutError) as e:
            record(f"client: {ident} ends with {type(e).__name__}")
            await asyncio.sleep(0.2)


async def next_checked(agents, servers):
    while not any(s.last_piece_read for s in servers):
        await asyncio.sleep(0.01)
    return next((a, s) for a, s in zip(agents, servers) if s.last_piece_read)


async def disturb(agents, servers, record):
    """The freeze of one machine, and a piece that turns bad in its staging meanwhile. ONLY=freeze, ONLY=rot: one of the two, to see that it
    does no harm alone."""
    only = os.environ.get("ONLY", "")
    agent, server = await next_checked(agents, servers)
    await asyncio.sleep(AFTER_CHECK_S)
    if server.starting or server.version != 1:  # no stream ran there; the other one follows some seconds later
        record(f"{server.id}: ordered before the freeze")
        agent, server = await next_checked([a for a in agents if a is not agent], [s for s in servers if s is not server])
        await asyncio.sleep(AFTER_CHECK_S)
    if server.starting or server.version != 1:
        record(f"{server.id}: ordered before the freeze")
        return False
    if only != "rot":
        agent.signal(signal.SIGSTOP)
        record(f"{agent.name} is frozen for {FREEZE_S} s")
    await asyncio.sleep(SPOILT_AFTER_S)
    if only != "freeze":
        server.spoil(5)
    await asyncio.sleep(FREEZE_S - SPOILT_AFTER_S)
    if only != "rot":
        agent.signal(signal.SIGCONT)
        record(f"{agent.name} wakes")
    return True


async def case(record, site):
    weights = Weights()
    origin = Origin(weights)
    origin_port = common.free_port()
    await asyncio.start_server(origin.serve, "127.0.3.1", origin_port)
    servers = []
    for number in range(1, AGENTS + 1):
        ip = f"127.0.2.{number}"
        server = ModelServer(f"i-{number}", SERVICE, f"{ip}:{site.app}", weights, record)
        await asyncio.start_server(server.serve, ip, site.app)
        site.store.put("servers", server.id, server.row())
        servers.append(server)
    site.store.put("op", "config", config(f"127.0.3.1:{origin_port}"))
    for number in range(1, AGENTS + 1):
        site.start_agent(number, SERVICE)
    site.start_router(1)
    await site.wait_ready()
    await asyncio.sleep(2)
    state = {"over": False, "answers": {}}
    clients = [asyncio.create_task(client(n, site, record, state)) for n in range(CLIENTS)]
    await asyncio.sleep(3)
    if state["answers"].get("200", 0) == 0:
        raise common.CouldNotRun(f"nothing is served: {state['answers']}; logs in {site.folder}")
    origin.newest = 2
    site.store.put("op", f"version/{MODEL}", {"Model": MODEL, "Version": 2})
    record("operator: version 2 is named")
    trouble = asyncio.create_task(disturb(site.agents, servers, record)) if common.TROUBLE else None
    end = time.monotonic() + START_LIMIT_S
    while any(s.version != 2 for s in servers) and time.monotonic() < end:
        await asyncio.sleep(0.05)
    await asyncio.sleep(WATCH_S)
    state["over"] = True
    await asyncio.wait(clients, timeout=8)
    hit = trouble is not None and trouble.done() and trouble.result()
    bad = sum(len(s.bad_tokens) for s in servers)
    record.say(f"answers {state['answers']}, tokens' events made {sum(s.events for s in servers)}, versions {[s.version for s in servers]}, "
               f"{'the freeze fell between check and order' if hit else 'no freeze'}, events made with a piece that had turned bad over 3 s before: {bad}")
    if any(p.ended() for p in site.processes):
        raise common.CouldNotRun("a program ended by itself")
    if common.TROUBLE and not hit:
        raise common.CouldNotRun("the freeze didn't fall between check and order")
    if any(s.version != 2 for s in servers):
        raise common.CouldNotRun(f"version 2 isn't everywhere; logs in {site.folder}")
    return common.BROKEN if bad > 0 else common.HELD


common.run(case, HERE)
