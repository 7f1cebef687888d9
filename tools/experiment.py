"""Runs a scenario of load and faults on real processes.

``python -m tools.experiment examples/scenarios/slow_engine.ini`` starts the
deployment on loopback, sends the load, injects the faults at their times, and
prints the callers' results and the wasted work.
"""

import argparse
import configparser
import dataclasses
import enum
import pathlib
import signal
import sys
import tempfile
import threading
import time

from cardamombarrow.document import parsing
from cardamombarrow.document import schema
from cardamombarrow.endpoints import http_get
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel import settings
from tools import demo
from tools import deployment
from tools import load
from tools import records

__all__ = ["Action", "Scenario", "main", "read"]

_ROOT = pathlib.Path(__file__).resolve().parent.parent
RESTART_READY_S = 20.0


class Action(enum.Enum):
    """What a fault does to its target."""

    KILL = "kill"
    FREEZE = "freeze"
    CONTINUE = "continue"
    RESTART = "restart"
    TERMINATE = "terminate"
    BEHAVE = "behave"


@dataclasses.dataclass(frozen=True)
class RunSection:
    """The deployment and the duration of the load."""

    deployment: str = settings.setting(
        "kandula", help="example document: kandula or nkansah"
    )
    seconds: float = settings.setting(
        20.0, unit="s", help="how long requests arrive", low=1, high=600
    )
    seed: int = settings.setting(1, help="seed of the arrivals")


@dataclasses.dataclass(frozen=True)
class LoadSection:
    """Requests of one class."""

    workspace: str = settings.setting(help="workspace that sends them")
    rate_per_s: float = settings.setting(
        help="mean arrivals a second", low=0.01, high=2_000
    )
    tokens: int = settings.setting(
        help="mean length of an answer", low=1, high=100_000
    )
    from_s: float = settings.setting(0.0, unit="s", help="first arrivals")
    to_s: float = settings.setting(600.0, unit="s", help="last arrivals")


@dataclasses.dataclass(frozen=True)
class FaultSection:
    """One fault.

    A target is an instance id, or ``<service>/<number>`` for a stand-in.
    """

    at_s: float = settings.setting(
        unit="s", help="moment from the start of the load", low=0, high=600
    )
    action: Action = settings.setting(help="what is done")
    target: str = settings.setting(help="instance or stand-in")
    value: str = settings.setting(
        "", help="for `behave`: JSON of the stand-in's behaviour"
    )


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A scenario, with its loads by class."""

    run: RunSection
    loads: dict[str, LoadSection]
    faults: list[FaultSection]


def read(path: pathlib.Path) -> Scenario:
    """Reads a scenario file.

    Raises:
        errors.ConfigError: With every mistake found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(path.read_text(), str(path))
    mistakes: list[str] = []
    run, loads, faults = RunSection(), {}, []
    for name in parser.sections():
        raw, location = dict(parser[name]), f"{path}: [{name}]"
        kind, _, rest = name.partition(":")
        if kind == "run":
            run = settings.section(RunSection, raw, location, mistakes)
        elif kind == "load":
            loads[rest] = settings.section(LoadSection, raw, location, mistakes)
        elif kind == "fault":
            fault = settings.section(FaultSection, raw, location, mistakes)
            faults.append(fault)
        else:
            mistakes.append(
                f"{location}: known: run, load:<class>, fault:<name>"
            )
    if mistakes:
        raise errors.ConfigError(mistakes)
    return Scenario(run, loads, sorted(faults, key=lambda f: f.at_s))


class _Faults:
    """Injects the faults of a scenario in a separate thread."""

    def __init__(
        self, faults: list[FaultSection], running: deployment.Deployment
    ):
        self._faults = faults
        self._running = running
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._stop = threading.Event()

    def start(self) -> None:
        """Starts the thread; fault times count from here."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread without injecting the remaining faults."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        start_s = time.monotonic()
        for fault in self._faults:
            wait_s = start_s + fault.at_s - time.monotonic()
            if self._stop.wait(max(0.0, wait_s)):
                return
            print(f"  {fault.at_s:4.0f} s, {fault.action.value} {fault.target}")
            self._inject(fault)

    def _inject(self, fault: FaultSection) -> None:
        signals = {
            Action.KILL: signal.SIGKILL,
            Action.FREEZE: signal.SIGSTOP,
            Action.CONTINUE: signal.SIGCONT,
            Action.TERMINATE: signal.SIGTERM,
        }
        address = self._address(fault.target)
        name = f"engine-{address}" if address else fault.target
        if fault.action in signals:
            self._running.signal(name, signals[fault.action])
        elif fault.action is Action.BEHAVE:
            http_get.fetch(
                f"http://{address}/standin/behaviour",
                timeout_s=5,
                method="POST",
                body=fault.value.encode(),
            )
        elif address:
            self._running.start_engine(address)
        else:
            self._running.start_instance(name)

    def _address(self, target: str) -> str:
        service, separator, number = target.partition("/")
        if not separator:
            return ""
        return self._running.engines[service][int(number)]


def _class_loads(
    scenario: Scenario, document: schema.Document
) -> list[load.ClassLoad]:
    model = next(iter(document.models))
    return [
        load.ClassLoad(
            class_id=name,
            workspace=section.workspace,
            model=model,
            rate_per_s=section.rate_per_s,
            tokens=section.tokens,
            target_first_token_s=document.classes[
                ids.ClassId(name)
            ].target_first_token_s,
            deadline_s=document.classes[ids.ClassId(name)].target_total_s,
            from_s=section.from_s,
            to_s=section.to_s,
        )
        for name, section in scenario.loads.items()
    ]


def main() -> int:
    """Runs one scenario and prints its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", type=pathlib.Path)
    scenario = read(parser.parse_args().scenario)
    example = _ROOT / "examples" / f"{scenario.run.deployment}.ini"
    text = example.read_text()
    loads = _class_loads(scenario, parsing.parse(text))
    with (
        tempfile.TemporaryDirectory() as folder,
        deployment.Deployment(demo.plan(text), pathlib.Path(folder)) as running,
    ):
        faults = _Faults(scenario.faults, running)
        generator = load.Load(
            loads, list(running.entries.values()), scenario.run.seed
        )
        faults.start()
        result = generator.run(scenario.run.seconds)
        faults.stop()
        wasted, total = records.wasted_work(running)
    print("\n".join(load.table(result)))
    print(f"wasted work: {wasted / max(total, 1):.2%} of {total} tokens")
    return 0


if __name__ == "__main__":
    sys.exit(main())
