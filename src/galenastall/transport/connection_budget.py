"""What the connections of clients hold of a process, and which of them is closed first.

All HTTP servers of a process share one budget. A connection may be closed while it is idle, while
its request is incomplete, and while its client does not read the response; the one whose last
progress is longest ago goes first. A request that has arrived completely is always answered.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Final

import trio

from galenastall.transport.client_limits import ClientLimits

PROGRESS_BYTES: Final = 16 * 1024
"""Bytes of a body that count as progress; fewer would let a client hold a connection for long."""
RESPONSE_GRACE_S: Final = 30.0
"""Seconds that a client has to read a response, in addition to those by its length."""
RESPONSE_BYTES_PER_S: Final = 16 * 1024
_LARGEST_PART: Final = 4
"""A part of a response counts as a quarter of the limit at most, so that one does not end all."""
SWEEP_S: Final = 1.0


class Phase(Enum):
    """How far the current request of a connection has come."""

    IDLE = "idle"
    """Nothing of a request has arrived."""
    HEAD = "head"
    """The head is incomplete."""
    BODY = "body"
    """The head has arrived, the body is incomplete."""
    SERVING = "serving"
    """The request has arrived completely, or its handler still reads what has arrived."""
    DROPPING = "dropping"
    """It is answered already, or refused; what still arrives of its body is dropped."""


class Limit(Enum):
    """Why a client was limited; the values are labels of the metric and causes in the log."""

    CONNECTIONS = "connections"
    """All connections are taken, and this one had made no progress for longest."""
    REFUSED_CONNECTION = "refused_connection"
    """All connections are taken, and none of them may be closed."""
    HELD_BYTES = "held_bytes"
    """The memory for unfinished requests is used up."""
    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"
    UNREAD_RESPONSE = "unread_response"
    STOPPING = "stopping"
    """The server stops, and the request had not arrived completely."""


class ConnectionAccount:
    """What one connection holds. All methods return at once."""

    def __init__(self, *, budget: "ConnectionBudget", close: Callable[[], None]) -> None:
        """`close` closes the socket without waiting for anything."""
        self._budget = budget
        self._close = close
        self.refuse_body: Callable[[], None] | None = None
        """Has the incomplete request refused, and frees its body."""
        self.phase = Phase.IDLE
        self.held_bytes = 0
        self.progressed_at = trio.current_time()
        self.unread_since: float | None = None
        """When the response that is being sent was begun."""
        self.unread_until = 0.0
        self._body_bytes = 0
        self._buffered_bytes = 0
        self.is_closed = False

    @property
    def budget(self) -> "ConnectionBudget":
        """The budget that the connection belongs to."""
        return self._budget

    @property
    def may_be_closed(self) -> bool:
        """Whether no complete request would go without a response that its client reads."""
        return self.phase is not Phase.SERVING or self.unread_since is not None

    def enter(self, phase: Phase) -> None:
        """Begin a phase; an idle connection holds nothing."""
        self.phase = phase
        self._body_bytes = 0
        if phase is Phase.IDLE:
            self.release(self.held_bytes)
            self._buffered_bytes = 0
        self._note_progress()

    def note_body(self, size: int) -> None:
        """Count received bytes of a body, which are progress if they are enough."""
        self._body_bytes += size
        if self._body_bytes >= PROGRESS_BYTES:
            self._body_bytes = 0
            self._note_progress()

    def set_buffered(self, size: int) -> None:
        """Hold `size` received bytes that are not parsed yet, in place of earlier ones."""
        change = size - self._buffered_bytes
        self._buffered_bytes = size
        if change > 0:
            self.hold(change)
        else:
            self.release(-change)

    def hold(self, size: int) -> bool:
        """Hold further bytes; return False if others hold so much that this one has to be refused.

        Bytes are counted even then, until they are released.
        """
        if self.is_closed:
            return False
        self.held_bytes += size
        return self._budget.add(self, size, spared=None)

    def reserve(self, size: int) -> bool:
        """Hold further bytes for a complete request; False, with none of them held, if too many."""
        if self.hold(size):
            return True
        self.release(size)
        self._budget.count(Limit.HELD_BYTES)
        return False

    def release(self, size: int) -> None:
        """Hold fewer bytes."""
        size = min(size, self.held_bytes)
        self.held_bytes -= size
        self._budget.subtract(self, size)

    @contextmanager
    def sending(self, size: int) -> Iterator[None]:
        """Hold a part of a response until the client's side has taken it."""
        now = trio.current_time()
        self.unread_since = now
        self.unread_until = now + RESPONSE_GRACE_S + size / RESPONSE_BYTES_PER_S
        self._note_progress()
        size = min(size, self._budget.limits.held_bytes // _LARGEST_PART)
        self._hold_response(size)
        try:
            yield
        finally:
            self.unread_since = None
            self.release(size)
            self._budget.update(self)

    def _hold_response(self, size: int) -> None:
        """Hold a part of a response; it ends others, but not the response itself."""
        if not self.is_closed:
            self.held_bytes += size
            self._budget.add(self, size, spared=self)

    def end(self, limit: Limit) -> None:
        """Refuse the incomplete request, or close the connection if there is none to refuse."""
        self._budget.count(limit)
        is_unread = self.unread_since is not None
        if self.phase is Phase.BODY and self.refuse_body is not None and not is_unread:
            self.enter(Phase.DROPPING)
            self.refuse_body()
            self.release(self.held_bytes)
            return
        self.close()

    def close(self) -> None:
        """Close the connection now, and hold nothing more."""
        if self.is_closed:
            return
        self.release(self.held_bytes)
        self.is_closed = True
        self._budget.remove(self)
        self._close()

    def _note_progress(self) -> None:
        self.progressed_at = trio.current_time()
        self._budget.update(self, has_progressed=True)


class ConnectionBudget:
    """The connections of all HTTP servers of a process."""

    def __init__(
        self,
        *,
        limits: Callable[[], ClientLimits] = ClientLimits,
        on_limited: Callable[[Limit, int], None] | None = None,
    ) -> None:
        """`on_limited` gets, once a second, how many clients a limit was applied to."""
        self._limits = limits
        self._on_limited = on_limited
        self._accounts: set[ConnectionAccount] = set()
        self._closable: OrderedDict[ConnectionAccount, None] = OrderedDict()
        """Accounts that may be closed, in the order of their last progress."""
        self._holders: OrderedDict[ConnectionAccount, None] = OrderedDict()
        """Those of them that hold bytes, in the same order."""
        self._unreported: dict[Limit, int] = {}
        self.counts: dict[Limit, int] = dict.fromkeys(Limit, 0)
        """How often each limit was applied."""
        self.held_bytes = 0
        self.turns = trio.Lock()
        """Held in turn by those whose input takes long to process, one turn an iteration."""

    @property
    def limits(self) -> ClientLimits:
        """The limits in force."""
        return self._limits()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._accounts)

    def open(self, close: Callable[[], None]) -> ConnectionAccount | None:
        """Return the account of a new connection; None if it has to be refused."""
        if self.connections >= self.limits.connections:
            victim = next(iter(self._closable), None)
            if victim is None:
                self.count(Limit.REFUSED_CONNECTION)
                return None
            self.count(Limit.CONNECTIONS)
            victim.close()
        account = ConnectionAccount(budget=self, close=close)
        self._accounts.add(account)
        self.update(account, has_progressed=True)
        return account

    async def take_turn(self) -> None:
        """Wait for a turn to process costly input: one of these in each iteration of the loop."""
        async with self.turns:
            await trio.lowlevel.checkpoint()

    def add(
        self, account: ConnectionAccount, size: int, *, spared: ConnectionAccount | None
    ) -> bool:
        """Count held bytes, and end others than `spared` until all fit.

        False if they do not fit, or `account` itself had to be ended.
        """
        self.held_bytes += size
        self.update(account)
        while self.held_bytes > self.limits.held_bytes:
            victim = next((each for each in self._holders if each is not spared), None)
            if victim is None:
                return False
            victim.end(Limit.HELD_BYTES)
            if victim is account:
                return False
        return True

    def subtract(self, account: ConnectionAccount, size: int) -> None:
        """Count bytes that are held no more."""
        self.held_bytes -= size
        if not account.held_bytes:
            self._holders.pop(account, None)

    def update(self, account: ConnectionAccount, *, has_progressed: bool = False) -> None:
        """Take over whether an account may be closed and holds bytes."""
        if account not in self._accounts:
            return
        is_closable = account.may_be_closed
        _keep(self._closable, account, is_kept=is_closable, is_last=has_progressed)
        is_holder = is_closable and account.held_bytes > 0
        _keep(self._holders, account, is_kept=is_holder, is_last=has_progressed)

    def remove(self, account: ConnectionAccount) -> None:
        """Forget a connection that is closed."""
        self._accounts.discard(account)
        self._closable.pop(account, None)
        self._holders.pop(account, None)

    def count(self, limit: Limit) -> None:
        """Count that a limit was applied."""
        self.counts[limit] += 1
        self._unreported[limit] = self._unreported.get(limit, 0) + 1

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """End what takes too long, and report applied limits, until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(SWEEP_S)
            self.sweep()

    def sweep(self) -> None:
        """End the connections whose time is over, and report what was limited since."""
        now, limits = trio.current_time(), self.limits
        for account in list(self._closable):
            limit = _overdue(account, now, limits)
            if limit is not None:
                account.end(limit)
        counts, self._unreported = self._unreported, {}
        if self._on_limited is not None:
            for limit, count in counts.items():
                self._on_limited(limit, count)


def _overdue(account: ConnectionAccount, now: float, limits: ClientLimits) -> Limit | None:
    """Return the limit of time that a connection has passed, if any."""
    if account.unread_since is not None:
        return Limit.UNREAD_RESPONSE if now > account.unread_until else None
    waited_s = now - account.progressed_at
    if account.phase is Phase.HEAD and waited_s > limits.head_s:
        return Limit.SLOW_HEAD
    if account.phase is Phase.BODY and waited_s > limits.pause_s:
        return Limit.SLOW_BODY
    return None


def _keep(
    order: OrderedDict[ConnectionAccount, None],
    account: ConnectionAccount,
    *,
    is_kept: bool,
    is_last: bool,
) -> None:
    if not is_kept:
        order.pop(account, None)
        return
    is_new = account not in order
    order[account] = None
    if is_last and not is_new:
        order.move_to_end(account)
