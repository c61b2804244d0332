"""Stand-in of the replicas of a plain service, as PROTOCOL.md describes them: slots, a short queue, X-Expect-Instance, a MAC in each answer."""
import asyncio

from common import answer, read_request


class PlainServer:
    """One address at which one lifetime of a replica after another runs."""

    def __init__(self, service, ip, port, work_s, record, slots=6, queue=24):
        self.service, self.ip, self.port, self.work_s, self.record = service, ip, port, work_s, record
        self.slots, self.queue = slots, queue
        self.id = None            # of the present lifetime
        self.server = None
        self.channels = set()
        self.waiting = 0
        self.runs = 0

    def row(self, state="ready"):
        return {"Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": "groningen-1", "Version": "v1", "Slots": self.slots,
                "State": state, "ColdLeftMs": 0, "CallSeq": 0}

    async def start(self, ident):
        self.id, self.waiting, self.gate = ident, 0, asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.record(f"replica {ident} of {self.service} starts at {self.ip}:{self.port}")

    def crash(self):
        """The process is gone: its channels are reset and the port refuses."""
        self.record(f"replica {self.id} crashes with {self.waiting} requests")
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        self.channels.clear()
        self.id = None

    async def serve(self, reader, writer):
        self.channels.add(writer)
        lifetime = self.id
        try:
            while True:
                req = await read_request(reader)
                if self.id != lifetime:
                    raise ConnectionResetError
                writer.write(await self.respond(req, lifetime))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def respond(self, req, lifetime):
        ident = req.fields.get("x-request-id")
        if ident is None:
            return answer(400, X_Not_Executed="1")
        if req.fields.get("x-expect-instance", lifetime) != lifetime:
            return answer(421, X_Request_Id=ident, X_Instance_Id=lifetime)
        if self.waiting >= self.slots + self.queue:
            return answer(503, X_Not_Executed="1", X_Request_Id=ident)
        self.waiting += 1
        try:
            async with self.gate:
                self.runs += 1
                self.record(f"replica {lifetime} runs {ident}")
                await asyncio.sleep(self.work_s)
        finally:
            self.waiting -= 1
        if self.id != lifetime:
            raise ConnectionResetError
        return answer(200, f"{ident} by {lifetime}".encode(), X_Request_Id=ident, X_Response_Seal=f"seal-{lifetime}-{ident}")
