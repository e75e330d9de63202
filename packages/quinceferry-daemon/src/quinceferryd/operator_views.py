"""Converts the state of routers, changes, budgets and bills into operator replies."""

import os

from quinceferry_core import operator_replies as replies
from quinceferry_core.bills import Balance, BillPage
from quinceferry_core.configuration import ChangeStatus
from quinceferry_core.membership import Member
from quinceferry_core.models import UpstreamSpec, WorkspaceId
from quinceferryd.blackboard import Blackboard, UpstreamStatus

_STATM_PATH = "/proc/self/statm"
_RESIDENT_PAGES_FIELD = 1


def status_reply(blackboard: Blackboard, open_requests: int) -> replies.StatusReply:
    """Return the status of this router.

    :param open_requests: number of requests in progress at this router.
    """
    identity = blackboard.identity
    configuration = blackboard.configuration
    return replies.StatusReply(
        router=identity.incarnation,
        vm=identity.vm,
        zone=identity.zone,
        address=identity.address,
        state=blackboard.state.value,
        revision=configuration.revision,
        accepted_revision=blackboard.accepted_revision,
        kv_available=blackboard.kv.available,
        open_requests=open_requests,
        memory_bytes=resident_bytes(),
        workspaces=sorted(configuration.workspaces_by_id),
        models=sorted(configuration.models_by_name),
        upstreams=[
            _upstream_reply(spec, blackboard.upstreams_by_id.get(spec.id, UpstreamStatus()))
            for spec in configuration.upstreams_by_id.values()
        ],
    )


def router_reply(member: Member) -> replies.RouterReply:
    """Return the listing entry of a router of the fleet."""
    return replies.RouterReply(
        router=member.incarnation,
        vm=member.vm,
        zone=member.zone,
        address=member.address,
        state=member.state.value,
        stop_step=member.stop_step,
        open_requests=member.open_streams,
    )


def change_reply(operation_id: str, status: ChangeStatus) -> replies.ChangeReply:
    """Return the progress of a configuration change."""
    return replies.ChangeReply(
        operation_id=operation_id,
        revision=status.revision,
        state=status.state.value,
        awaited_routers=[
            replies.AwaitedRouterReply(
                router=router.incarnation,
                vm=router.vm,
                reason=router.reason.value,
                applied_revision=router.applied_revision,
            )
            for router in status.awaited
        ],
    )


def balance_reply(balance: Balance) -> replies.BalanceReply:
    """Return the balance of a workspace."""
    return replies.BalanceReply(
        workspace=balance.workspace,
        granted=balance.granted,
        settled=balance.settled,
        withheld=balance.withheld,
        held_by_routers=balance.held_by_routers,
        free=balance.free,
    )


def bills_reply(workspace: WorkspaceId, page: BillPage) -> replies.ListBillsReply:
    """Return a page of the bills of a workspace."""
    bills = [
        replies.BillReply(
            request_id=bill.request,
            tokens=bill.tokens,
            paid_by=bill.paid_by,
            estimated=bill.estimated,
            partial=bill.partial,
        )
        for bill in page.bills
    ]
    return replies.ListBillsReply(workspace=workspace, bills=bills, cursor=page.next_cursor)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes, or 0 if ``/proc`` is unavailable."""
    try:
        with open(_STATM_PATH) as file:
            fields = file.read().split()
    except OSError:
        return 0
    return int(fields[_RESIDENT_PAGES_FIELD]) * os.sysconf("SC_PAGE_SIZE")


def _upstream_reply(spec: UpstreamSpec, status: UpstreamStatus) -> replies.UpstreamReply:
    """Return the status of an upstream as this router has observed it."""
    report = status.report
    return replies.UpstreamReply(
        upstream=spec.id,
        zone=spec.zone,
        kind=spec.kind.value,
        leaving=status.leaving or bool(report and report.leaving),
        running=report.running if report else 0,
        waiting=report.waiting if report else 0,
        loaded=[str(model) for model in report.loaded] if report else [],
    )
