Feature: Parts of the gateway
  Small decisions, each by itself.

  Scenario: Repeats stay within this gateway's share of the fleet's budget
    Given a retry budget of ratio 0.2 and slack 45 in 10 seconds
    When 100 requests of the service are counted
    Then 20 repeats are allowed among 9 gateways

  Scenario: Repeats are allowed again in the next window
    Given a retry budget of ratio 0.2 and slack 45 in 10 seconds
    When 100 requests of the service are counted
    And all repeats among 9 gateways are taken
    And 11 seconds pass for the retry budget
    Then 4 repeats are allowed among 9 gateways

  Scenario: Parts of a partitioned fleet use a multiple of the retry budget
    Given a retry budget of ratio 0.2 and slack 45 in 10 seconds
    When 100 requests of the service are counted
    And 1 repeat is allowed among 9 gateways
    And 12 seconds pass for the retry budget
    And 100 requests of the service are counted
    Then 20 repeats are allowed among 4 gateways

  Scenario: A retry budget is divided by gateways that ended long ago
    Given a retry budget of ratio 0.2 and slack 45 in 10 seconds
    When 1 repeat is allowed among 9 gateways
    And 61 seconds pass for the retry budget
    And 100 requests of the service are counted
    Then 25 repeats are allowed among 4 gateways

  Scenario: All requests of a service whose upstreams never fail are remembered
    Given a retry budget of ratio 0.2 and slack 45 in 10 seconds
    When 100 requests a second are counted for 120 seconds, and none is repeated
    Then the retry budget remembers at most 1001 requests

  Scenario Outline: A stream is cut at the ends of its events
    Given an event buffer
    When it is fed "<pieces>"
    Then it has passed "<passed>" with last event "<last>" of <count>

    Examples:
      | pieces                              | passed               | last | count |
      | id: 1;data: a;;                     | id: 1;data: a;;      | 1    | 1     |
      | id: 1;data: a;;id: 2;da             | id: 1;data: a;;      | 1    | 1     |
      | id: 1;da/ta: a;/;id: 7;data: b;;    | id: 1;data: a;;id: 7;data: b;; | 7 | 2 |
      | data: a                             |                      |      | 0     |

  Scenario Outline: An event that never ends is kept and searched again and again
    Given an event buffer
    When it is fed chunks of <size> bytes without the end of an event
    Then it has refused the event after 65536 bytes

    Examples:
      | size  |
      | 1     |
      | 1000  |
      | 60000 |

  Scenario: Prompts that share their parts go to one upstream
    Given a router before 5 upstreams
    When 50 prompts with the shared part "ledger" are routed
    Then one upstream got all prompts

  Scenario: A crowded upstream hands prompts on
    Given a router before 5 upstreams
    When 50 prompts with the shared part "ledger" are routed
    And that upstream reports 90 running and 8 waiting of 96
    And 50 prompts with the shared part "ledger" are routed
    Then more than one upstream got prompts

  Scenario: A failed upstream is avoided for a while
    Given a router before 5 upstreams
    When 50 prompts with the shared part "ledger" are routed
    And that upstream fails
    And 50 prompts with the shared part "ledger" are routed
    Then more than one upstream got prompts

  Scenario: Log lines are bounded, and failures are kept longer than successes
    Given a log whose reader does not read
    When 500 successes and 250 failures are logged at once
    Then 100 successes and 250 failures are kept, and 400 dropped
    And writing to the log never waited

  Scenario Outline: Settings with faults are refused with their names
    Given the settings of a gateway with <name> = <value>
    Then the settings are refused, naming "<named>"

    Examples:
      | name                   | value   | named                  |
      | listen.callers         | "nine"  | listen.callers         |
      | stop.leave_seconds     | 90      | stop.leave_seconds     |
      | budgets.held_share     | 1.5     | budgets.held_share     |
      | budgets.moons          | 1       | moons                  |
      | cold_starts.excess     | 0       | cold_starts.excess     |
      | cold_starts.slack      | -1      | cold_starts.slack      |
      | retries.ratio          | "often" | retries.ratio          |

  Scenario: The template renders settings that are valid
    Then the rendered template passes the check with optional fields
    And the rendered template passes the check without optional fields
