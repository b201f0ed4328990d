"""Environment variables, defaults and limits of the command-line tool."""

NODE_VARIABLE = 'DUNLINSADDLE_NODE'
TOKEN_VARIABLE = 'DUNLINSADDLE_OPERATOR_TOKEN'
USER_VARIABLE = 'USER'
DEFAULT_NODE = '127.0.0.1:7404'
DEFAULT_METRICS = '127.0.0.1:9464'  #: of a node on the users' platform
REQUEST_TIMEOUT_SECONDS = 35.0  #: longer than a node waits in total for the platform
MAX_SEND_ATTEMPTS = 2
