Feature: When a gateway reads a list of the store
  A gateway that is no designated reader reads a list when its copy grows old, and the copies of a fleet
  that starts together do so at different ages.

  # Guards against an upstream that is used late because a copy may reach 1.2 of the bound.
  Scenario: A gateway that has lived on copies since its first read reads too late
    Given 200 gateways that read a list with a bound of 2 seconds at second 0
    When each gets a copy that was requested at second 10, and no more
    Then all of them read the list 1.2 to 1.4 seconds after that

  Scenario: Gateways that started together read again at the same time
    Given 200 gateways that read a list with a bound of 2 seconds at second 0
    When they get no copies
    Then all of them read the list 1.2 to 2.4 seconds after that
    And at most 40 of them do so within any 0.1 seconds

  # Guards against a list that is read late because of a failed call before an answer to a peer.
  Scenario: A gateway whose call failed waits though a copy shows that the store answers again
    Given 200 gateways that read a list with a bound of 2 seconds at second 0
    When the next call of each fails at second 8
    And each gets a copy that was requested at second 8.1, and no more
    Then all of them read the list 1.2 to 1.4 seconds after that

  Scenario: Gateways whose calls fail in an outage call seldom
    Given 200 gateways that read a list with a bound of 2 seconds at second 0
    When the next call of each fails at second 8
    And each has a copy that was requested at second 6
    Then all of them read the list 4 to 7 seconds after that

  # Guards against a small fleet that calls seldom while its designated readers are partitioned.
  Scenario: Gateways of a small fleet pause after a failed call for as long as those of a large one
    Given 9 gateways that read a list with a bound of 2 seconds at second 0
    When the next call of each fails at second 8
    And each has a copy that was requested at second 6
    Then all of them read the list 2.25 to 3.2 seconds after that
