"""The external dependencies of a program, passed as an argument instead of used as globals."""

import os
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import TextIO

from dunlinsaddle.membership.transport import TransportFactory, open_udp


@dataclass
class Environment:
    """Streams, variables, clocks, random numbers and UDP of one run; tests build their own."""

    program_name: str = 'dunlinsaddle'
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)
    wall_clock: Callable[[], float] = time.time
    #: A clock in seconds that also advances while the machine is suspended, unlike the loop's.
    boottime_clock: Callable[[], float] = field(
        default=lambda: time.clock_gettime(time.CLOCK_BOOTTIME)
    )
    rng: Random = field(default_factory=Random)
    open_gossip: TransportFactory = open_udp

    def print_error(self, message: str) -> None:
        """Write a one-line error message to stderr."""
        self.stderr.write(f'{self.program_name}: error: {message}\n')
