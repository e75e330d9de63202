Feature: Planned stops of a gateway process that gets little processor time
  A process that is not scheduled does not notice when its signals arrive, and everything that it does
  takes longer. Its callers must not pay for that before the grace time is nearly over.

  Scenario Outline: A stop that follows a stall cuts streams too early
    Given a gateway process that relays 3 endless streams
    When the gateway process is stalled for <stall> seconds and gets SIGTERM <delay> s later
    And the gateway process has ended, at the latest by SIGKILL after its grace time
    Then no stream ended before the last sixth of the grace time

    Examples:
      | stall | delay |
      | 1.5   | 0.05  |
      | 0.9   | 0.1   |

  Scenario Outline: A stop that arrives in a stall cuts streams too early
    Given a gateway process that relays 3 endless streams
    When the gateway process gets SIGTERM <delay> s into a stall of <stall> seconds
    And the gateway process has ended, at the latest by SIGKILL after its grace time
    Then no stream ended before the last sixth of the grace time

    Examples:
      | stall | delay |
      | 1.5   | 0.1   |
      | 1.5   | 1.4   |

  Scenario: A starved gateway process is killed at the end of its grace time while it exits
    Given a gateway process that relays 3 endless streams
    And the gateway process gets 0.15 of a core
    When the gateway process gets SIGTERM
    And the gateway process has ended, at the latest by SIGKILL after its grace time
    Then the gateway process ended by itself

  Scenario: A gateway process that is told to stop while it starts is ended by the signal
    Given a gateway process that has just been started
    When the gateway process gets SIGTERM
    And the gateway process has ended, at the latest by SIGKILL after its grace time
    Then the gateway process ended by itself

  Scenario: A gateway process that is told to stop while it starts accepts requests
    Given a gateway process that has just been started
    When the gateway process gets SIGTERM
    And the gateway process has ended, at the latest by SIGKILL after its grace time
    Then the gateway process has never begun to serve

  Scenario: A gateway process whose settings file changes while it starts is ended by the signal
    Given a gateway process that has just been started
    When the gateway process gets SIGHUP
    And the gateway process is ready
    Then the gateway process has checked its settings again
