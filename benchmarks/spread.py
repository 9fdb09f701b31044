"""What hosts share: how soon, at what cost in bytes and platform calls."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.gossip import SEED_HOSTS, Fleet
from benchmarks.pool import run_jobs
from benchmarks.result import Result

COMMAND = "python -m benchmarks --only spread"

SIZES = (9, 50, 300)
LOSSES = (0.0, 0.1)
SEED = 11

#: Most seconds from accepted to in force, and until a killed host is held dead.
REPLICATION_BOUND = 4.0
DETECTION_BOUNDS = {9: 4.0, 50: 5.0, 300: 5.0}

#: Most control bytes a second of a host, and more of them for one more host.
BYTES_BOUND = 4096.0
SLOPE_BOUND = 2.0

#: Most platform calls a second of the whole fleet, whatever its size.
CALLS_BOUND = 3.0

#: Most suspicions of live hosts, for each host and minute.
SUSPICIONS_BOUND = 1.0

#: Changes a day that operators make, and the seconds between two of them.
CHANGES_PER_DAY = 3700
CHANGE_INTERVAL = 86_400 / CHANGES_PER_DAY

#: Virtual seconds of each part of a run.
SETTLING_TIME = 4.0
IDLE_TIME = 10.0
CHANGING_TIME = 2 * CHANGE_INTERVAL
LOSSY_TIME = {9: 120.0, 50: 40.0, 300: 12.0}
STORM_TIME = 12.0

#: Changes whose spread is timed, seconds apart.
CHANGES = 4
CHANGE_GAP = 1.0

#: Kills that are timed, fewer in a large fleet.
KILLS = {9: 8, 50: 3, 300: 1}

#: Seconds in which the last host to start must have a configuration.
SNAPSHOT_TRANSFER_TIME = 5.0

#: Seconds between the kill of a host in a restart storm and its start.
DOWNTIME = 1.0

#: Seconds a reader's watch waits until it is asked anew.
WATCH_TIMEOUT = 30.0


@dataclass(frozen=True, slots=True)
class Job:
    """One run."""

    kind: str
    size: int
    loss: float = 0.0

    @property
    def label(self) -> str:
        """Size and loss as part of a figure's name."""
        return f"{self.size} hosts" + (f", {self.loss:.0%} loss" if self.loss else "")


def run() -> list[dict[str, object]]:
    """Measure; return one row for each figure."""
    jobs = [Job("faults", size, loss) for size in reversed(SIZES) for loss in LOSSES]
    jobs += [Job("bytes", size) for size in SIZES]
    jobs += [Job("storm", size) for size in SIZES]
    answers = dict(zip(jobs, run_jobs(measure, jobs), strict=True))
    results = [result for job in sorted_jobs(jobs) for result in answers[job]]
    results += [slope_of(results, word) for word in ("idle", "changing")]
    return [result.to_dict() for result in results]


def sorted_jobs(jobs: list[Job]) -> list[Job]:
    """Return jobs in the order of the report."""
    return sorted(jobs, key=lambda job: (job.kind, job.size, job.loss))


def measure(job: Job) -> list[Result]:
    """Make one run and return its figures."""
    fleet = Fleet.from_size(job.size, job.loss, SEED)
    fleet.run(SETTLING_TIME)
    match job.kind:
        case "faults":
            return measure_faults(job, fleet)
        case "bytes":
            return measure_bytes(job, fleet)
        case _:
            return measure_storm(job, fleet)


def bounded_result(name: str, value: float, unit: str, bound: float) -> Result:
    """Return a figure that must not exceed its bound."""
    return Result.at_most(name, value, unit, bound, seed=SEED, command=COMMAND)


def measure_faults(job: Job, fleet: Fleet) -> list[Result]:
    """Time changes and kills; count mistakes where datagrams are lost."""
    results = []
    if job.loss:
        fleet.run(LOSSY_TIME[job.size])
        minutes = job.size * fleet.network.now / 60
        suspected = fleet.counter_total("membership.suspected") / job.size / minutes
        died = float(fleet.counter_total("membership.died"))
        name = f"false suspicions, {job.label}"
        results.append(bounded_result(name, suspected, "/host/min", SUSPICIONS_BOUND))
        results.append(bounded_result(f"false deaths, {job.label}", died, "", 0.0))
    times = []
    for _ in range(CHANGES):
        times.append(fleet.replication_time())
        fleet.run(CHANGE_GAP)
    name = f"accepted to in force, {job.label}"
    results.append(bounded_result(name, max(times), "s", REPLICATION_BOUND))
    times = []
    for number in range(KILLS[job.size]):
        times.append(fleet.detection_time(f"host-{job.size - 1 - number}"))
    name = f"killed host held dead by all, {job.label}"
    bound = DETECTION_BOUNDS[job.size]
    results.append(bounded_result(name, max(times), "s", bound))
    return results


def measure_bytes(job: Job, fleet: Fleet) -> list[Result]:
    """Count bytes of an idle fleet, and of one that changes at the usual rate."""
    idle = fleet.control_traffic_during(IDLE_TIME)
    fleet.calls.clear()
    fleet.network.after(0.0, fleet.commit)
    fleet.network.after(CHANGE_INTERVAL, fleet.commit)
    changing = fleet.control_traffic_during(CHANGING_TIME)
    readers = sum(
        core.tables.replication.is_reader for core in fleet.network.hosts.values()
    )
    calls = fleet.calls.total() / CHANGING_TIME + readers / WATCH_TIMEOUT
    return [
        bounded_result(
            f"control bytes, idle, {job.label}", idle.busiest, "B/s", BYTES_BOUND
        ),
        bounded_result(
            f"control bytes, changing, {job.label}",
            changing.busiest,
            "B/s",
            BYTES_BOUND,
        ),
        bounded_result(f"platform calls, {job.label}", calls, "/s", CALLS_BOUND),
    ]


def measure_storm(job: Job, fleet: Fleet) -> list[Result]:
    """Restart a third of the hosts, one after the other, within ten seconds."""
    restarted = range(SEED_HOSTS, SEED_HOSTS + job.size // 3)
    for number, index in enumerate(restarted):
        at = 10.0 * number / len(restarted)
        fleet.network.after(at, lambda index=index: restart(fleet, index))
    sent = fleet.control_traffic_during(STORM_TIME)
    fleet.run(SNAPSHOT_TRANSFER_TIME)
    late = sum(
        core.tables.revision < fleet.revision for core in fleet.network.hosts.values()
    )
    name = f"control bytes, restart storm, {job.label}"
    bulk = f"bulk copies, restart storm, {job.label}"
    missing = f"hosts without configuration after it, {job.label}"
    return [
        bounded_result(name, sent.busiest, "B/s", BYTES_BOUND),
        Result(bulk, sent.bulk, "B/s", seed=SEED, command=COMMAND),
        bounded_result(missing, float(late), "", 0.0),
    ]


def restart(fleet: Fleet, index: int) -> None:
    """Kill a host; start it again a moment later, knowing its seeds alone."""
    host_id = f"host-{index}"
    fleet.network.kill_host(host_id)
    incarnation = fleet.network.links[host_id].encoder.boot_time + 60_000

    def start() -> None:
        fleet.start_host(index, SEED_HOSTS, incarnation)

    fleet.network.after(DOWNTIME, start)


def slope_of(results: list[Result], word: str) -> Result:
    """Return how many bytes a second one more host costs each."""
    values = {
        size: next(
            result.value
            for result in results
            if result.name == f"control bytes, {word}, {size} hosts"
        )
        for size in SIZES
    }
    slope = (values[SIZES[-1]] - values[SIZES[0]]) / (SIZES[-1] - SIZES[0])
    return bounded_result(
        f"control bytes, {word}, slope", slope, "B/s/host", SLOPE_BOUND
    )
