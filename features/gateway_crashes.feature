Feature: Requests that crash the upstreams that run them
  One request ended every upstream that began to run it. Its caller sent it again and again, each time with a
  new identifier, and the fleet passed it on ten times after it had ended three: thirteen upstreams in fourteen
  seconds, with up to 55 other requests on them, until four of five were away. What a broken connection taught was kept of
  the upstream only, and each gateway saw only its own. Fourteen request.refused lines of six gateways settled it:
  outcome_unknown, the same route and workspace, 1,028 tokens, at each of the thirteen; and one upstream ended 0.9 s
  after its start with nothing but that request on it.

  Scenario: A connection that breaks alone is no crash
    Given a fleet of 1 gateway before 2 upstreams of service app
    And its log is kept
    When app-1 and app-2 break the next connection
    And gateway 1 gets "hello" on /post/ 1 time
    Then the log names "attempt.unknown" 1 time
    And the log names "upstream.crashed" 0 times

  Scenario: The log tells which content an upstream had when it crashed
    Given a fleet of 1 gateway before 3 upstreams of service llm
    And its log is kept
    And "boom" crashes all upstreams of the fleet
    When gateway 1 gets "boom" on /ask/ 2 times
    Then the log names "upstream.crashed" 2 times
    And all of these lines name the same content

  Scenario: A request that crashes its upstreams is run no more after the third
    Given a fleet of 3 gateways before 8 upstreams of service llm
    And "boom" crashes all upstreams of the fleet
    When the gateways get "boom" on /ask/ in turn, 9 times
    Then 3 upstreams of the fleet have crashed
    And the last 6 were refused with 503, and told when to come back
    And "hello" on /ask/ is answered at each gateway

  Scenario: A resumable request that crashes its upstreams is run no more after the third
    Given a fleet of 3 gateways before 8 upstreams of service llm
    And "boom" crashes all upstreams of the fleet
    When the gateways get "boom" on /draft/ in turn, 9 times
    Then 3 upstreams of the fleet have crashed
    And "hello" on /draft/ is answered at each gateway

  Scenario Outline: Among many callers the one request is refused, and nobody else
    Given a fleet of 3 gateways before 5 upstreams of service llm
    And its log is kept
    And "boom" crashes all upstreams of the fleet, and another one starts for each
    When 30 callers stream other things meanwhile, and "boom" comes 10 times, with seed <seed>
    Then 3 to 5 upstreams of the fleet have crashed
    And nothing but "boom" was refused for its content

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against crashes that don't count while no other upstream of the service is up.
  Scenario Outline: A request crashes upstreams for as long as it comes while no other one is up
    Given a fleet of 3 gateways before <count> upstreams of service app
    And "boom" crashes all upstreams of the fleet, and each is back after 1.5 seconds under its identifier
    When "boom" comes on /post/ for 16 seconds, whenever an upstream is up, and with seed <seed>
    Then it reaches upstreams at most 3 times later than 3 seconds after the third crash

    Examples:
      | count | seed |
      | 2     | 1    |
      | 2     | 2    |
      | 1     | 3    |

  # Guards against sound requests that are refused since their gateway has lost its links.
  Scenario Outline: A gateway that loses its links again and again gets sound content refused
    Given a fleet of 3 gateways before 2 upstreams of service app
    And its log is kept
    When gateway 1 loses its links <times> times while it sends "hello" on /post/, and connections <how>
    Then the log names "quarantine.began" 0 times
    And the log has "crash.undecided" for these cuts

    Examples:
      | times | how         |
      | 4     | are refused |

  Scenario Outline: All gateways know what three of them saw, before the request comes again
    Given <count> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    When three gateways each see one crash under the same content
    Then all gateways refuse it within <seconds> seconds

    Examples:
      | count | lost | seed | seconds |
      | 3     | 5    | 101  | 3       |
      | 9     | 5    | 102  | 3       |
      | 9     | 30   | 103  | 3       |
      | 83    | 5    | 104  | 4       |
      | 195   | 5    | 105  | 5       |

  Scenario: A gateway that starts learns what the others refuse
    Given 9 gateways that know each other, losing 5 of 100 digests, seed 111
    When three gateways each see one crash under the same content
    And gateway 1 is killed and starts again
    Then all gateways refuse it within 3 seconds

  Scenario: Gateways that all start together know what was refused before
    Given 9 gateways that know each other, losing 5 of 100 digests, seed 112
    When three gateways each see one crash under the same content
    And 1 second passes until all gateways are killed and start again
    Then all gateways refuse it within 3 seconds

  Scenario: What was concluded in an outage of the store is written when it is back
    Given 9 gateways that know each other, losing 5 of 100 digests, seed 113
    When the store is away for 4 seconds, and three gateways each see one crash meanwhile
    And 1 second passes until all gateways are killed and start again
    Then all gateways refuse it within 3 seconds

  Scenario: Gateways that were cut off from the others learn what these refuse
    Given 9 gateways that know each other, losing 5 of 100 digests, seed 114
    When gateways 8 and 9 are cut off from the others
    And three gateways each see one crash under the same content
    And the cut is over
    Then all gateways refuse it within 3 seconds

  Scenario: An answer at one gateway clears the content at all
    Given 9 gateways that know each other, losing 0 of 100 digests, seed 115
    When two gateways each see one crash under the same content
    And gateway 5 answers the same content
    And two gateways each see one crash under the same content
    Then no gateway refuses it after 2 seconds

  Scenario: Few calls to the store are made for one conclusion
    Given 195 gateways that know each other, losing 5 of 100 digests, seed 116
    When three gateways each see one crash under the same content
    Then the store holds one record of it after 2 seconds, written by at most 4 gateways
