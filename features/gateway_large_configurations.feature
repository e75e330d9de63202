Feature: Configurations that take long to transfer
  A configuration of a thousand routes is some hundred kilobytes, which a thin link carries in a good part of
  a second. It must be in force everywhere within the platform's bound all the same.

  Scenario Outline: A large configuration is in force everywhere in time on thin links
    Given <count> gateways that know each other, losing 2 of 100 digests, seed <seed>
    And links of 10 Mbit/s, every third one of <thin> Mbit/s
    When the operators write a configuration of <routes> routes, <times> times
    Then each time a large one is in force everywhere within the bound
    And no gateway received more than <share> of 100 of the documents from the others

    Examples:
      | count | seed | thin | routes | times | share |
      | 8     | 101  | 10   | 1400   | 3     | 25    |
      | 83    | 102  | 10   | 1400   | 3     | 25    |
      | 83    | 103  | 2    | 1400   | 3     | 25    |
      | 195   | 104  | 5    | 3000   | 2     | 25    |

  Scenario: Only the designated readers get a large configuration from the store
    Given 83 gateways that know each other, losing 2 of 100 digests, seed 109
    And links of 10 Mbit/s, every third one of 5 Mbit/s
    When the operators write a configuration of 1400 routes, 4 times
    Then the store sent at most 4 documents for each of them

  Scenario: Of large configurations in quick succession the newest is in force in time
    Given 83 gateways that know each other, losing 2 of 100 digests, seed 105
    And links of 10 Mbit/s, every third one of 2 Mbit/s
    When the operators write 6 configurations of 1400 routes, 0.3 seconds apart
    Then the last one is in force everywhere within the bound

  Scenario: Gateways that start together all get a large configuration
    Given 30 gateways that start together, losing 2 of 100 digests, seed 106
    And links of 10 Mbit/s, every third one of 5 Mbit/s
    And a configuration of 1400 routes from the beginning
    Then all of them have it within 6 seconds

  Scenario: A transfer that goes on is not given up, however long it takes
    Given a server that sends 30 pieces of 2000 bytes, one each 0.1 seconds
    When its answer is fetched with a timeout of 1 seconds
    Then 60000 bytes arrive

  Scenario: A transfer that stands still ends after the timeout
    Given a server that sends 3 pieces of 2000 bytes, one each 0.1 seconds, and no more
    When its answer is fetched with a timeout of 1 seconds
    Then it fails after 1 to 4 seconds, with 6000 bytes received

  Scenario: A copy with a configuration that can't be read is not claimed
    Given 3 gateways that know each other, losing 0 of 100 digests, seed 107
    When a peer hands gateway 1 an unreadable configuration
    Then its lists are the same as before
    And it claims no newer configuration than before

  Scenario: A copy is as old as it was when it was asked for
    Given 3 gateways that know each other, losing 0 of 100 digests, seed 108
    When gateway 1 takes 0.5 seconds to get a newer configuration
    Then it does not believe it more recent than the request for it

  Scenario: A gateway that has got one of two newer configurations counts from the other
    Given 3 gateways that know each other, losing 0 of 100 digests, seed 110
    When gateway 1 is told of a newer configuration, and of another one 1 seconds later
    And it gets the first of them
    Then it has missed a configuration for 0 seconds, and not for 1

  Scenario Outline: A gateway that knows of a newer configuration denies nothing for good
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When a peer tells of a newer configuration
    And a request carries header <name> "<value>"
    Then the gateway answers 503
    And is told when to come back

    Examples:
      | name                     | value   |
      | host                     | other   |
      | x-quinceferry-credential | unknown |

  Scenario: A gateway that has missed a newer configuration for too long serves nothing by the old one
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When a peer tells of a newer configuration
    And 2.5 seconds pass at the gateway
    And 1 request after another reads /get/a
    Then the gateway answers 503
    And 0 requests reached an upstream

  Scenario: A gateway that has just heard of a newer configuration serves on
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When a peer tells of a newer configuration
    And 1 request after another reads /get/a
    Then the gateway answers 200
