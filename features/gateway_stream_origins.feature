Feature: Where streams began, as a fleet of gateways remembers it
  A caller may resume a stream at any gateway after the one that served it is gone. Gateways that a stream's
  identifier selects remember at which software version it began.

  Scenario Outline: A gateway does not find where a stream began
    Given <count> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    When 120 streams begin, and each is resumed at another gateway
    Then at least <found> of 120 origins are found, and none is wrong
    And each stream cost 3 messages to holders

    Examples:
      | count | lost | seed | found |
      | 4     | 0    | 201  | 120   |
      | 9     | 5    | 202  | 120   |
      | 83    | 5    | 203  | 120   |
      | 195   | 5    | 204  | 120   |

  Scenario Outline: The origins of streams are lost with the gateways that served them
    Given <count> gateways that know each other, losing 0 of 100 digests, seed <seed>
    When 120 streams begin, <killed> gateways are killed at once, and each is resumed at a living one
    Then at least 60 of 120 origins are found, and none is wrong

    Examples:
      | count | seed | killed |
      | 9     | 211  | 5      |
      | 9     | 212  | 5      |
      | 83    | 213  | 49     |
      | 195   | 214  | 117    |

  Scenario Outline: Origins are forgotten while all gateways are stopped and started in turn
    Given <count> gateways that know each other, losing 0 of 100 digests, seed <seed>
    When 120 streams begin, all gateways are stopped and started in turn, and each is resumed
    Then at least 120 of 120 origins are found, and none is wrong

    Examples:
      | count | seed |
      | 9     | 221  |
      | 15    | 222  |

  Scenario: A gateway that is cut off takes another origin for that of a stream
    Given 9 gateways that know each other, losing 0 of 100 digests, seed 231
    When 120 streams begin, and each is resumed at a gateway that is cut off from the others
    Then at least 0 of 120 origins are found, and none is wrong
