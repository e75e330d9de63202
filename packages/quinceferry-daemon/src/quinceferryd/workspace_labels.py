"""Bounds the workspaces that appear in metrics under their own name.

A fleet holds thousands of workspaces, and each one with its own series would fill the process's
memory: a histogram alone takes kilobytes for each workspace and class. So only a fixed number of
them is named, and all others share one label. A named workspace stays named, since a counter that
left and came back would lie. Each further name asks for a larger share of traffic than the one
before: the first requests after a start do not use up the names, and a workspace that becomes busy
late still finds one.
"""

OTHER_WORKSPACES = "other"
"""Label shared by all workspaces without a name of their own."""
MAX_NAMED = 48
"""Workspaces with a name of their own."""

_NAMES_PER_STEP = 8
_FIRST_THRESHOLD = 2
_COUNTED_PER_NAME = 8


class WorkspaceLabels:
    """Decides under which label a workspace appears.

    :param max_named: workspaces with a name of their own.
    """

    def __init__(self, max_named: int = MAX_NAMED) -> None:
        self._max_named = max_named
        self._named: set[str] = set()
        self._counts_by_workspace: dict[str, int] = {}

    def label(self, workspace: str) -> str:
        """Return the label of a workspace, without counting a request."""
        return workspace if workspace in self._named else OTHER_WORKSPACES

    def count(self, workspace: str) -> str:
        """Count one request of a workspace and return its label."""
        if workspace in self._named:
            return workspace
        if len(self._named) >= self._max_named:
            return OTHER_WORKSPACES
        count = self._counts_by_workspace.pop(workspace, 0) + 1
        if count >= self._threshold():
            self._named.add(workspace)
            return workspace
        self._counts_by_workspace[workspace] = count
        self._forget_excess()
        return OTHER_WORKSPACES

    def _threshold(self) -> int:
        """Return how many requests earn the next name."""
        return _FIRST_THRESHOLD * 2 ** (len(self._named) // _NAMES_PER_STEP)

    def _forget_excess(self) -> None:
        """Forget the workspace that was counted longest ago, when too many are counted."""
        if len(self._counts_by_workspace) > self._max_named * _COUNTED_PER_NAME:
            del self._counts_by_workspace[next(iter(self._counts_by_workspace))]
