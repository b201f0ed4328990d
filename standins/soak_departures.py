"""Targets of a soak run that start again under their id and leave in different ways."""

from random import Random

from standins.soak_says import parse_arrival

DRAIN_SECONDS = 2.0  #: after an acknowledged departure, until the target must get no new requests
SERVED_ON_SECONDS = 5.0  #: for which a target goes on serving after its departure
MAX_CLOCK_STEP_SECONDS = 30.0


def target_options(name: str, rng: Random) -> list[str]:
    """Draw how the next start of a target behaves: its id stays, its clock may be set back."""
    step = rng.uniform(-MAX_CLOCK_STEP_SECONDS, MAX_CLOCK_STEP_SECONDS)
    options = ['--id', f'i-{name}', f'--clock-step={step:.3f}', '--drain', str(SERVED_ON_SECONDS)]
    if rng.random() < 0.5:
        options.append('--deregister-first')
    if rng.random() < 0.7:
        options.append('--late')
    return options


def find_late_arrivals(lines: list[str]) -> list[str]:
    """Check the output of one start of a target; return a finding if requests came too late."""
    left_at = next((float(line.split(' ')[2]) for line in lines if line.startswith('left ')), None)
    if left_at is None:
        return []
    arrivals = filter(None, map(parse_arrival, lines))
    late = [a for a in arrivals if a.arrived_at > left_at + DRAIN_SECONDS]
    if not late:
        return []
    seconds = late[-1].arrived_at - left_at
    return [f'{late[0].target_id}: {len(late)} requests up to {seconds:.2f} s after it left']
