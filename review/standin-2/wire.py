"""Names of the platform's wire, read from the adapter's sources while a case runs."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def _source(name):
    return (ROOT / name).read_text(encoding="utf-8")


def _fields(text, struct):
    body = re.search(r"struct " + struct + r"(?:<[^>]*>)? \{(.*?)\n\}", text, re.DOTALL)[1]
    return re.findall(r"^    (\w+):", body, re.MULTILINE)


_HEADERS = dict(re.findall(r'const (\w+): &str = "([^"]+)"', _source("platform/src/headers.rs")))
ATTEMPT_ID = _HEADERS["ATTEMPT_ID"]
DEADLINE_MS = _HEADERS["DEADLINE_MS"]
PROGRAM_ID = _HEADERS["PROGRAM_ID"]
CONVERSATION_ID = _HEADERS["CONVERSATION_ID"]
PROGRAM_DEADLINE_MS = _HEADERS["PROGRAM_DEADLINE_MS"]
TOKEN_BUDGET = _HEADERS["TOKEN_BUDGET"]
TOKEN_USAGE = _HEADERS["TOKEN_USAGE"]
PREVIOUS_TURN = _HEADERS["PREVIOUS_TURN"]
PROMPT_PREFIX = _HEADERS["PROMPT_PREFIX"]
EXPECTED_INSTANCE = _HEADERS["EXPECTED_INSTANCE"]
SIGNATURE = _HEADERS["SERVER_SIGNATURE"]
NOT_EXECUTED = _HEADERS["NOT_EXECUTED"]
SERVER_LOAD = _HEADERS["SERVER_LOAD"]

_OPERATOR = _source("platform/src/operator.rs")
_API = re.search(r'strip_prefix\("(/[^"]+)"\)', _OPERATOR)[1]
PUBLISH = _API + re.search(r'"(\w+\.Replace)"', _OPERATOR)[1]
READ = _API + re.search(r'"(\w+\.Read)"', _OPERATOR)[1]
DRAIN = _API + re.search(r'"(\w+\.Start/)"', _OPERATOR)[1]
DRAIN_STATUS = _API + re.search(r'"(\w+\.Read/)"', _OPERATOR)[1]

_LIB = _source("platform/src/lib.rs")
SETTINGS = re.search(r'SETTINGS: &str = "(\w+)"', _LIB)[1]
READINESS = re.search(r'uri\.path\(\) == "([^"]+)"', _LIB)[1]

_LIST = _source("platform/src/list.rs")
LIST_PATH, PAGE_QUERY = re.search(r'"(/\w+)\?(\w+)=', _LIST).groups()
LIST_FIELD, NEXT_FIELD = _fields(_LIST, "Page")
COLD_FIELD = re.search(r'"(cold\w+)":0', _source("platform/tests/standin/instance_list.rs"))[1]

_TABLE = _source("platform/src/table.rs")
_ROUTE = _fields(_TABLE, "RouteEntry")
PREFIX_FIELD, KIND_FIELD, TIMEOUT_FIELD, OBJECTIVE_FIELD = _ROUTE[2:6]
