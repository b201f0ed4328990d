"""``python -m dunlinsaddle`` runs the command-line tool."""

from dunlinsaddle.cli.core import main

if __name__ == '__main__':
    main()
