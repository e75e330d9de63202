Feature: Background tasks that fail
  A gateway whose background task has ended looks sound, and works with what it knew at that moment.

  # Guards against a gateway that never reads, registers or draws again after one unexpected failure.
  Scenario Outline: One unexpected failure ends a background task for good
    Given a gateway of which the task "<task>" fails once in "<call>"
    When it has served for long enough
    Then the gateway has logged that the task runs again
    And the task is running

    Examples:
      | task          | call                                  |
      | configuration | PlatformStore.operator_changes        |
      | upstreams     | PlatformStore.upstreams               |
      | members       | PlatformStore.snapshot                |
      | registration  | PlatformStore.put_if                  |
      | allotments    | HolderAccounts.forget_early_settlements |
      | quarantine    | PlatformStore.list                    |
      | digests       | Gossip._send_digest                   |
      | loop monitor  | Metrics.record_loop_delay             |
      | housekeeping  | UpstreamStates.discard_missing        |

  # Guards against a fleet that serves nobody after a restart because of one record that can't be decoded.
  Scenario Outline: One record that can't be decoded keeps gateways from serving or from each other
    Given a store in which another writer has left <key> with <fault>
    When two gateways start and get requests
    Then each gateway serves, knows the other one alone, and has restarted no task

    Examples:
      | key                      | fault                    |
      | quinceferry/members/x    | deep JSON                |
      | quinceferry/members/x    | a peer without a port    |
      | quinceferry/members/x    | a peer outside ASCII     |
      | quinceferry/quarantine/x | deep JSON                |
      | quinceferry/quarantine/x | an end in the year 1     |
      | op/evacuate/x            | deep JSON                |
      | servers/x                | deep JSON                |
