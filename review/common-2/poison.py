"""A part of a prompt that crashes each worker that begins to write an answer on it.

The engines and the clients of the cases about it, and the check of the rule.
"""

import asyncio
import random

import stage as st

CONTACT = 4.0  # contact-ms
ALLOWED = 3
DOWN = 3.0  # "the worker is back after some seconds"
ENGINES = 12
EDGES = 9
PREFILL_TOKENS_PER_S = 62400.0
FIRST_TOKEN = 0.12
EVENTS = 60
EVENT_TIME = 0.1
DEADLY = "91bd3f06"
DEADLY_PARTS = {DEADLY}


class Engine(st.Worker):
    async def run(self, line, fields, body, writer):
        stage = self.stage
        parts = [part.split(":") for part in fields.get("x-prompt-prefix", "").split(",")]
        number = fields.get("x-request-id", "-")
        is_deadly = any(part[0] in DEADLY_PARTS for part in parts)
        stage.record.write(f"{self.identity} gets {number}{' (deadly part)' if is_deadly else ''}")
        if is_deadly:
            stage.arrivals.append(stage.record.now())
        lives = self.lives
        tokens = sum(int(part[1]) for part in parts)
        await asyncio.sleep(FIRST_TOKEN + tokens / PREFILL_TOKENS_PER_S)
        if lives != self.lives or writer.is_closing():
            return
        if is_deadly and stage.trouble:
            stage.crashes.append(stage.record.now())
            stage.record.write(f"{self.identity} crashes, crash {len(stage.crashes)}")
            stage.spawn(self.crash(DOWN))
            return
        writer.write(self.head(200, fields, "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n" + self.seal(fields)))
        first = int(fields.get("last-event-id", "0")) + 1
        for event in range(first, EVENTS + 1):
            text = f"id: {event}\ndata: {number}-{event}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await asyncio.sleep(EVENT_TIME)
            if lives != self.lives or writer.is_closing():
                return
        writer.write(b"0\r\n\r\n")
        stage.record.write(f"{self.identity} has run {number}")


async def generate(stage, kind, edge, shared):
    """A request of a client on a channel of its own. `shared` are the parts before the last."""
    number = f"{random.getrandbits(64):016x}"
    parts = shared + [(f"{random.getrandbits(32):08x}", 2890)]
    prefix = ",".join(f"{part}:{tokens}" for part, tokens in parts)
    tokens = sum(tokens for _, tokens in parts)
    stage.record.write(f"client: {kind} request {number} to {edge.name}")
    answer = await stage.call(
        edge.address, 8227,
        f"POST /pufi791/{number[:4]} HTTP/1.1\r\nHost: {st.HOST}\r\nX-Request-Id: {number}\r\n"
        f"X-Model: m\r\nX-Token-Count: {tokens},{EVENTS * 2}\r\nX-Prompt-Prefix: {prefix}\r\n"
        f"X-Deadline-Ms: 8000\r\nAuthorization: Bearer {st.KEY}\r\nContent-Length: 4\r\n\r\n",
        b"text", 8.0)
    whole = answer is not None and answer[0] == 200 and answer[2].count(b"data:") == EVENTS
    status = "a broken answer or none" if answer is None else str(answer[0])
    stage.record.write(f"client: {kind} request {number}: {'whole' if whole else status}")
    if kind == "sound":
        stage.sound[0 if whole else 1] += 1


async def begin(stage):
    """Starts the deployment: one service of engines and one route, whose streams run once."""
    stage.arrivals, stage.crashes, stage.sound = [], [], [0, 0]
    stage.add_nodes(EDGES)
    zones = list(st.ZONES)
    stage.workers = [Engine(stage, "huvo11a", stage.address(31 + index), zones[index % 3], 64)
                     for index in range(ENGINES)]
    await stage.begin(st.configuration(
        7, [st.stream_route("r-i6y7z5k", "/pufi791/", "huvo11a", False, 800, 8000, 1, 200)],
        [st.engine_service("huvo11a")]))
    await asyncio.sleep(2.0)


async def play(stage, seconds, interval, sound_interval, deadly_parts, sound_parts):
    """Sends both kinds of request and checks the rule. Returns whether it was broken."""
    async def deadly():
        order = []
        while True:
            if not order:
                order = random.sample(stage.edges(), EDGES)
            stage.spawn(generate(stage, "deadly", order.pop(), deadly_parts()))
            await asyncio.sleep(interval)

    async def sound():
        while True:
            stage.spawn(generate(stage, "sound", random.choice(stage.edges()), sound_parts()))
            await asyncio.sleep(random.expovariate(1 / sound_interval))

    stage.spawn(sound())
    stage.spawn(deadly())
    await asyncio.sleep(seconds)
    late = []
    if len(stage.crashes) >= 5:
        late = [at for at in stage.arrivals if at > stage.crashes[4] + CONTACT]
    text = (f"{len(stage.crashes)} crashes; {len(late)} requests with the deadly part reached "
            f"workers later than {CONTACT} s after the fifth, {ALLOWED} are allowed; sound "
            f"requests: {stage.sound[0]} whole, {stage.sound[1]} not")
    stage.record.write(text)
    print(text)
    return len(late) > ALLOWED
