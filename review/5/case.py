"""Streams are taken up after all processes were killed once and are back."""

import itertools
import pathlib
import signal
import threading
import time

from review.scene import case
from review.scene import fleet as fleet_module
from review.scene import streams

STREAMS = 28
LIMIT_S = 15.0
BEGIN_S = 13.0
BROKEN_AFTER_S = 1.5
"""Age of the streams at the fault."""

IN_TOUCH_S = 8.0
"""Twice `contactMs`: from then on calm machines are in touch after a fault
that took most of the core."""

TRIES = 3
TARGET = "/lohu930/2f"


def play(scene: case.Scene) -> list[str]:
    """Kills all processes once, and takes the streams up when calm."""
    scene.use_servers(streams.ModelServer)
    scene.start()
    fleet = scene.fleet
    entries = fleet.of_role("entry")
    scene.sleep_until(3.0)
    fleet.put(config(scene, 7))
    for entry in entries:
        if not fleet_module.wait_until(lambda e=entry: fleet.is_ready(e), 20):
            raise RuntimeError(f"{entry.name} does not become ready")
    scene.sleep_until(BEGIN_S)
    broken = [new_consumer() for _ in range(STREAMS)]
    begin_s = time.monotonic()
    threads = start_all(scene, broken, entries, LIMIT_S)
    time.sleep(BROKEN_AFTER_S)
    if fleet.put(config(scene, 8)) is None:
        raise RuntimeError("the second config was not acknowledged")
    calm_s = break_off(scene, broken)
    for thread in threads:
        thread.join()
    if not all(each.last_id for each in broken):
        raise RuntimeError("not all streams began")
    time.sleep(max(calm_s + IN_TOUCH_S + 0.1 - time.monotonic(), 0.0))
    left_s = begin_s + LIMIT_S - time.monotonic()
    scene.record(f"consumers take up, {left_s:.1f} s left")
    new = [new_consumer() for _ in range(STREAMS)]
    # A consumer comes to another entry than before.
    others = [*entries[1:], entries[0]]
    threads = [
        *start_all(scene, broken, others, left_s, TRIES),
        *start_all(scene, new, others, LIMIT_S, TRIES),
    ]
    time.sleep(left_s)
    for each in new:
        each.leave()
    for thread in threads:
        thread.join()
    return judge(scene, broken, new)


def break_off(scene: case.Scene, broken: list[streams.Consumer]) -> float:
    """Ends the streams; returns from when on nothing is disturbed."""
    if not scene.trouble:
        scene.record("consumers close their connections")
        for each in broken:
            each.leave()
        return time.monotonic()
    machines = scene.fleet.machines.values()
    for machine in machines:
        scene.fleet.signal(machine, signal.SIGKILL)
    if not fleet_module.wait_until(
        lambda: all(
            each.starts > 1 and each.process.poll() is None for each in machines
        ),
        5.0,
    ):
        raise RuntimeError("not all processes are back")
    scene.record("all processes have been started again")
    return time.monotonic()


def start_all(
    scene: case.Scene,
    consumers: list[streams.Consumer],
    entries: list[fleet_module.Machine],
    limit_s: float,
    tries: int = 1,
) -> list[threading.Thread]:
    """Starts the tries of consumers at the entries in turn."""
    return [
        start(scene, each, entry, limit_s, tries)
        for each, entry in zip(
            consumers, itertools.cycle(entries), strict=False
        )
    ]


def config(scene: case.Scene, version: int) -> dict[str, object]:
    """Returns a config with one route for streams that may be resumed."""
    route = scene.route("r-yhvz3pf", "/lohu930/", "streaming")
    route |= {
        "timeoutMs": 15_000,
        "latencyGoalMs": 2_500,
        "sticky": True,
        "resumable": True,
        "itlTargetMs": 800,
    }
    config = scene.config(version, [route])
    config["services"][0] |= {
        "maxConns": 360,
        "engine": {
            "slots": 64,
            "kvCapacity": 609987,
            "kvTokenBytes": 327680,
            "linkMbps": 320000.0,
            "models": [{"name": "m"}],
        },
    }
    return config


def new_consumer() -> streams.Consumer:
    """Returns a consumer that has not begun yet."""
    return streams.Consumer(
        {
            "Host": case.HOST,
            "Authorization": f"Token {case.KEY}",
            "Model-Name": "m",
            "Token-Count": "1460,120",
            "Prefix-Hash": "5c1e07a2:800,91bd3f06:660",
        }
    )


def start(
    scene: case.Scene,
    consumer: streams.Consumer,
    entry: fleet_module.Machine,
    limit_s: float,
    tries: int,
) -> threading.Thread:
    """Starts the tries of a consumer, each after the time it was told."""
    entries = scene.fleet.of_role("entry")
    first = entries.index(entry)

    def run() -> None:
        end_s = time.monotonic() + limit_s
        for number in range(tries):
            left_s = end_s - time.monotonic()
            if left_s <= 0.0:
                return
            asked = entries[(first + number) % len(entries)]
            attempt = scene.attempt()
            before = consumer.last_id
            consumer.read(scene.fleet.frontend(asked), TARGET, attempt, left_s)
            status, events = consumer.tries[-1]
            scene.record(
                f"consumer tries {attempt} at {asked.name} after event "
                f"{before}: {status}, {events} events"
            )
            if status == 200:
                return
            time.sleep(min(consumer.retry_after_s or 0.2, left_s / 3))

    thread = threading.Thread(target=run)
    thread.start()
    return thread


def judge(
    scene: case.Scene,
    broken: list[streams.Consumer],
    new: list[streams.Consumer],
) -> list[str]:
    """Compares the streams that go on with the new ones that begin."""
    went_on = sum(any(n for _, n in each.tries[1:]) for each in broken)
    began = sum(bool(each.last_id) for each in new)
    text = (
        f"{went_on} of {len(broken)} streams that are taken up go on, {began} "
        f"of {len(new)} new ones begin; {len(scene.servers)} servers of one "
        "version serve"
    )
    scene.record(text)
    if not began:
        raise RuntimeError("no new stream begins")
    if went_on / len(broken) >= began / len(new) / 2:
        return []
    return [f"LOST: {text}"]


case.main(pathlib.Path(__file__).resolve().parent, play)
