"""The daemon as a process.

What only some way of starting it needs is imported for that way. A node of the users' platform
reads one file and needs no command line: without it, without the exporters of metrics and the
product's own node, its imports took 0.27 s of processor time where they had taken 0.40 s (measured
with ``time``, less the 0.17 s of an empty interpreter). Hundreds start after a loss of power.
"""

import sys

from dunlinsaddle.environment import Environment
from dunlinsaddle.settings import env_name


def run_daemon(argv: list[str], env: Environment) -> int:
    """Run the daemon with these arguments; gives the exit status."""
    node_file = env.environ.get(env_name('node-file'))
    if node_file and not argv:
        from dunlinsaddle.mesh import daemon as mesh

        return mesh.run(env, node_file)
    from dunlinsaddle.serve import serve

    return serve(argv, env)


def main() -> None:
    """Run the daemon as a process."""
    sys.exit(run_daemon(sys.argv[1:], Environment(program_name='dunlinsaddled')))


if __name__ == '__main__':
    main()
