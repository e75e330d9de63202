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
MAX_LABELED_WORKSPACES = 48
"""Workspaces with a name of their own."""

_LABELS_PER_THRESHOLD = 8
_FIRST_THRESHOLD_REQUESTS = 2
_COUNTED_WORKSPACES_PER_LABEL = 8


class WorkspaceLabels:
    """Decides under which label a workspace appears.

    :param max_named: workspaces with a name of their own.
    """

    def __init__(self, max_labeled: int = MAX_LABELED_WORKSPACES) -> None:
        self._max_labeled = max_labeled
        self._labeled_workspaces: set[str] = set()
        self._counts_by_workspace: dict[str, int] = {}

    def label(self, workspace: str) -> str:
        """Return the label of a workspace, without counting a request."""
        return workspace if workspace in self._labeled_workspaces else OTHER_WORKSPACES

    def count_request(self, workspace: str) -> str:
        """Count one request of a workspace and return its label."""
        if workspace in self._labeled_workspaces:
            return workspace
        if len(self._labeled_workspaces) >= self._max_labeled:
            return OTHER_WORKSPACES
        count = self._counts_by_workspace.pop(workspace, 0) + 1
        if count >= self._threshold_requests():
            self._labeled_workspaces.add(workspace)
            return workspace
        self._counts_by_workspace[workspace] = count
        self._evict_oldest_count()
        return OTHER_WORKSPACES

    def _threshold_requests(self) -> int:
        """Return how many requests earn the next name."""
        return _FIRST_THRESHOLD_REQUESTS * 2 ** (
            len(self._labeled_workspaces) // _LABELS_PER_THRESHOLD
        )

    def _evict_oldest_count(self) -> None:
        """Forget the workspace that was counted longest ago, when too many are counted."""
        if len(self._counts_by_workspace) > self._max_labeled * _COUNTED_WORKSPACES_PER_LABEL:
            del self._counts_by_workspace[next(iter(self._counts_by_workspace))]
