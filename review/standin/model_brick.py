"""A stand-in for a model brick: it carries out orders, tells reports that lag, and streams answers."""

import asyncio
import copy
import json
import random

import local

# Reports and heartbeats tell how things stood "some hundred ms earlier".
REPORT_LAG_S = 0.2
ADAPTER_LOAD_S = 0.02
UNLOAD_S = 0.01
# A lost packet is sent again after the least time-out of TCP, then after twice as long each time. What was not acknowledged for
# 2.5 s is given up by the sender's kernel (TCP_USER_TIMEOUT of the program under test).
FIRST_RETRANSMISSION_S = 0.2
GIVEN_UP_S = 2.5


def transmission_delay(loss):
    """For how long a packet is held up where each transmission of it is lost with this probability; None: for good."""
    delay, wait = 0.0, FIRST_RETRANSMISSION_S
    while random.random() < loss:
        delay += wait
        wait *= 2
        if delay > GIVEN_UP_S:
            return None
    return delay


class ModelBrick(local.Brick):
    """Holds models and adapters, and takes one order at a time. Does not check fencing tokens."""

    def __init__(self, deployment, number, backend, zone, runtime, models):
        super().__init__(deployment, number, backend, zone, 0.0, capacity=64)
        self.runtime = {model["name"]: model for model in runtime["models"]}
        self.limits = runtime
        self.models = {name: set() for name in models}
        self.busy, self.revision = False, 0
        # The share of packets that are lost on the way from one core to this brick, and when that ended.
        self.lossy_sender, self.loss, self.healed = "", 0.0, []
        # Orders as they arrive: (moment, holder, token, status).
        self.orders = []
        self.history = []
        self.changed()

    def state(self):
        models = [{"name": name, "version": 1, "adapters": sorted(held)} for name, held in self.models.items()]
        return {"models": models, "busy": self.busy, "sequence": self.revision}

    def changed(self):
        self.history.append((self.record.now(), copy.deepcopy(self.state())))

    def told(self):
        at = self.record.now() - REPORT_LAG_S
        while len(self.history) > 1 and self.history[1][0] <= at:
            self.history.pop(0)
        return self.history[0][1]

    def body(self, state):
        beat = json.loads(super().body(state))
        beat.update(phase="prefill_decode", models=self.told()["models"])
        return json.dumps(beat)

    async def answer(self, writer, method, path, headers, body):
        if path == "/api/order":
            await self.order(writer, body)
        elif path == "/api/report":
            report = {"phase": "prefill_decode", "queued": 0, "active": self.active, "kv_used": 0, "kv_total": 122259, "handles": 0}
            report.update(self.told())
            self.write(writer, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        else:
            await self.stream(writer, headers)

    # ---- orders ----

    async def order(self, writer, body):
        sent = self.record.now()
        order = json.loads(body)
        delay = transmission_delay(self.loss if order["lease_holder"] == self.lossy_sender else 0.0)
        if delay is None:
            return
        await asyncio.sleep(delay)
        status = self.take(order)
        now = self.record.now()
        self.orders.append((now, order["lease_holder"], order["fencing_token"], status))
        self.record.say(
            f"order at {self.instance} from {order['lease_holder']} token {order['fencing_token']}: {order['operation']} "
            f"{order['model']} {order.get('adapter', '')} if_revision {order.get('if_revision')} -> {status}; "
            f"sent at {sent:.3f}, held up {delay:.1f} s by lost packets"
        )
        self.write(writer, status, {}, b"")

    def take(self, order):
        model, adapter = order["model"], order.get("adapter", "")
        load = order["operation"] == "model_load"
        held = self.models.get(model)
        if adapter:
            holds = held is not None and adapter in held
        else:
            holds = held is not None
        if self.busy or order.get("if_revision", self.revision) != self.revision:
            return 409
        if holds == load:
            return 200
        if adapter and held is None:
            return 400
        self.busy = True
        self.revision += 1
        self.changed()
        seconds = UNLOAD_S if not load else ADAPTER_LOAD_S if adapter else self.runtime[model]["load_s"]
        asyncio.get_event_loop().call_later(seconds, self.done, load, model, adapter)
        return 202

    def done(self, load, model, adapter):
        if adapter:
            if model in self.models:
                (self.models[model].add if load else self.models[model].discard)(adapter)
        elif load:
            self.models[model] = set()
        else:
            self.models.pop(model, None)
        self.busy = False
        self.changed()

    # ---- requests ----

    async def stream(self, writer, headers):
        request = headers.get("x-pathbank-request-id", "")
        own = {"X-Pathbank-Request-Id": request}
        self.arrived[request] = self.record.now()
        model, _, adapter = headers.get("x-pathbank-model", "").partition("/")
        held = self.models.get(model)
        wrong = headers.get("x-pathbank-target-instance", self.instance) != self.instance
        if wrong or held is None or (adapter and adapter not in held):
            self.write(writer, 421, {**own, "X-Pathbank-Not-Executed": "1"}, b"")
            return
        if self.active >= self.capacity:
            self.write(writer, 503, {**own, "X-Pathbank-Not-Executed": "1"}, b"")
            return
        self.active += 1
        self.begun[request] = self.record.now()
        try:
            await asyncio.sleep(0.08)
            own["X-Pathbank-Response-Signature"] = f"stamp.{self.instance}.{request}"
            lines = ["HTTP/1.1 200 X", "Content-Type: text/event-stream", "Versions: 1", "Transfer-Encoding: chunked"]
            lines += [f"{name}: {value}" for name, value in own.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(1, 9):
                if writer.transport.is_closing():
                    return
                event = f"id: {number}\ndata: {request}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(0.03)
            writer.write(b"0\r\n\r\n")
            self.answered.add(request)
        finally:
            self.active -= 1
