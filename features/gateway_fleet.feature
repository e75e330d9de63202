Feature: What a fleet of gateways knows of itself
  Digests go to a few peers in each period, and copies of the store's lists go from gateway to gateway.
  The bounds are those of the platform: a leaving upstream gets no work, and a configuration is in force,
  after two seconds at up to 60 gateways, three at up to 150, four beyond; traffic begins twelve seconds
  after the gateways do.

  Scenario Outline: Gateways that start together know each other
    Given <count> gateways that start together, losing <lost> of 100 digests, seed <seed>
    Then all of them know all within 6 seconds

    Examples:
      | count | lost | seed |
      | 3     | 0    | 1    |
      | 30    | 5    | 2    |
      | 200   | 5    | 4    |
      | 400   | 5    | 5    |

  Scenario Outline: A leaving upstream is known to all in time
    Given <count> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    And <trouble>
    When an upstream leaves the store's list, 10 times
    Then each time no gateway uses it after the bound

    Examples:
      | count | lost | seed | trouble                                    |
      | 3     | 5    | 11   | no trouble                                 |
      | 30    | 5    | 12   | no trouble                                 |
      | 200   | 5    | 13   | no trouble                                 |
      | 200   | 0    | 14   | all readers are cut off from the store     |
      | 200   | 5    | 15   | a third is cut off from the store          |
      | 30    | 5    | 16   | all readers hear and are heard by nobody   |

  Scenario Outline: A configuration is in force everywhere in time
    Given <count> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    And <trouble>
    When the operators write a configuration, 10 times
    Then each time it is in force everywhere within the bound

    Examples:
      | count | lost | seed | trouble                                    |
      | 3     | 5    | 21   | no trouble                                 |
      | 200   | 5    | 22   | no trouble                                 |
      | 200   | 0    | 23   | all readers are cut off from the store     |
      | 200   | 5    | 24   | a third is cut off from the store          |

  Scenario Outline: Calls to the store and messages do not grow with the fleet
    Given <count> gateways that know each other, losing 2 of 100 digests, seed <seed>
    When 10 seconds pass in the fleet
    Then its lists cost at most 16 calls a second
    And the gateways send at most 6 digests a second each on average

    Examples:
      | count | seed |
      | 30    | 31   |
      | 200   | 32   |

  Scenario Outline: Who was killed is unreachable to all in time, and nobody else is
    Given <count> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    When half of the gateways are killed
    Then the living call just the killed unreachable after 8 seconds
    And they did not call a living one unreachable

    Examples:
      | count | lost | seed |
      | 4     | 5    | 41   |
      | 30    | 5    | 42   |
      | 200   | 5    | 43   |

  Scenario Outline: Callers are not told addresses of killed gateways
    Given <count> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    When half of the gateways are killed
    Then no address answer names a killed one after <seconds> seconds

    Examples:
      | count | lost | seed | seconds |
      | 4     | 5    | 44   | 6       |
      | 30    | 5    | 45   | 6       |
      | 80    | 5    | 46   | 7       |
      | 195   | 5    | 47   | 7       |

  Scenario: A bad link between two gateways is no proof that one is gone
    Given 30 gateways that know each other, losing 2 of 100 digests, seed 51
    When gateway 1 can send nothing to half of the others
    And 10 seconds pass in the fleet
    Then they did not call a living one unreachable

  Scenario: After all were killed together, those that start know each other
    Given 200 gateways that know each other, losing 2 of 100 digests, seed 61
    When all gateways are killed and start again
    Then all of them know all within 6 seconds

  Scenario: In an outage of the store few calls are made, and its return is known soon
    Given 200 gateways that know each other, losing 2 of 100 digests, seed 71
    When the store is away for 10 seconds
    Then its lists cost at most 80 calls a second
    And all have a list that is younger than 2 seconds within 3 seconds

  Scenario: Gateways that start while the store is away know its lists soon after its return
    Given 30 gateways that start together, losing 0 of 100 digests, seed 73
    When the store is away for 3 seconds
    Then all have a list that is younger than 2 seconds within 1 seconds

  Scenario Outline: A digest that can't be believed changes nothing
    Given 3 gateways that know each other, losing 0 of 100 digests, seed 81
    When gateway 1 gets a digest <fault>
    Then it knows the same as before

    Examples:
      | fault                            |
      | of another form                  |
      | of itself                        |
      | that names unknown members       |
      | of an unknown one that is leaving |

  Scenario Outline: Gateways of a large fleet that start together hardly collide over the budget
    Given <count> token holders that <know> each other and a budget of 950000 tokens
    When they serve requests for 90 seconds
    Then at most 5 gateways hold tokens
    And at most 1 in 20 of their writes is refused

    Examples:
      | count | know          |
      | 40    | know          |
      | 40    | come to know  |

  Scenario: After all were killed, the holders on the same vms have tokens at once
    Given 40 token holders that know each other and a budget of 900000 tokens
    When they serve requests for 5 seconds
    And all of them are killed and others start on their vms
    And 1 seconds pass for the many holders
    Then exactly 5 gateways hold tokens, on the vms that held them before

  Scenario: A call that is lost is made again, and carried out once
    Given two datagram ports between which the first 2 messages are lost
    When a call is made that takes 0.3 seconds to carry out
    Then it is answered, and was carried out 1 times

  Scenario: A call that is never answered ends in time
    Given two datagram ports between which the first 99 messages are lost
    When a call is made that takes 0.1 seconds to carry out
    Then it ends without an answer after 0.35 seconds

  Scenario Outline: A peer's copy that can't be taken changes nothing
    Given 3 gateways that know each other, losing 0 of 100 digests, seed 91
    When gateway 1 gets a copy of its <list> that is <fault>
    Then its lists are the same as before

    Examples:
      | list          | fault     |
      | configuration | malformed |
      | upstreams     | malformed |
      | members       | malformed |
      | configuration | older     |
      | upstreams     | older     |
      | members       | older     |

  Scenario: A gateway whose machine was suspended trusts nothing it knew before
    Given 30 gateways that know each other, losing 0 of 100 digests, seed 95
    When the machine of gateway 1 was suspended for 6 seconds
    Then it reads all lists anew within a second

  Scenario: Callers of a zone that sends many times its usual are spread over other zones
    Given 200 gateways that know each other, losing 0 of 100 digests, seed 97
    When a caller in zone-1 asks gateway 1 for addresses 50 times
    Then each answer names 64 gateways, the 40 of zone-1 among them
    And all gateways are named in some answer
