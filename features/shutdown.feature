Feature: Planned stops
  A router that is told to stop leaves the answers first, and cuts nothing.

  Background:
    Given a fleet of 3 member routers
    And 20 fleet seconds pass

  Scenario: The steps of a stop come in order
    Given router "vm-2" has 2 requests in progress
    When router "vm-2" begins to stop and 39 fleet seconds pass
    Then the stop of "vm-2" has reached "wait_for_answers"
    And router "vm-2" still takes requests
    When 10 fleet seconds pass
    Then the stop of "vm-2" has reached "finish_requests"
    And router "vm-2" still takes requests
    When the requests of "vm-2" end and 5 fleet seconds pass
    Then the stop of "vm-2" has reached "done"
    And the stop of "vm-2" went through every step and cut nothing
    And "vm-2" returned its allotments before it left
    And router "vm-1" sees 2 members
    And the record of "vm-2" proves that it left

  Scenario: An operator drains a router from afar and sees the progress
    Given router "vm-2" has 1 requests in progress
    When an operator at "vm-1" drains "vm-2"
    And 3 fleet seconds pass
    Then router "vm-2" has been told to stop
    When router "vm-2" begins to stop and 45 fleet seconds pass
    Then the operator at "vm-1" sees "vm-2" in step "finish_requests" with 1 requests
    When the requests of "vm-2" end and 5 fleet seconds pass
    Then router "vm-1" sees 2 members
    And no order to drain is left

  Scenario: Draining twice is one order
    When an operator at "vm-1" drains "vm-2"
    And an operator at "vm-3" drains "vm-2"
    Then both drains are answered with the record of "vm-2"

  Scenario: A router that is not a member cannot be drained
    When an operator at "vm-1" drains "vm-7"
    Then the drain is refused

  Scenario: An order given while its router was paused is found on return
    When router "vm-2" is paused for 2 fleet seconds
    And an operator at "vm-1" drains "vm-2"
    And router "vm-2" resumes and 10 fleet seconds pass
    Then router "vm-2" has been told to stop

  Scenario: The watch history is lost with an order in it
    When router "vm-2" is cut off for 5 fleet seconds
    And an operator at "vm-1" drains "vm-2" as the key-value service forgets its history
    And router "vm-2" is reconnected and 90 fleet seconds pass
    Then router "vm-2" has been told to stop

  Scenario: The answer to the announcement is lost
    Given all writes of "vm-2" below "members/" lose their answers
    When router "vm-2" begins to stop and 5 fleet seconds pass
    Then no router names "vm-2"
    When all writes of "vm-2" are answered again and 60 fleet seconds pass
    Then the stop of "vm-2" has reached "done"

  Scenario: A router whose watch is silent leaves the stopping one out in time
    Given watches of router "vm-1" never answer
    When router "vm-2" begins to stop and 10 fleet seconds pass
    Then no router names "vm-2"

  Scenario: A stop during an outage serves on until its bound
    Given the key-value service is out
    When router "vm-2" begins to stop and 200 fleet seconds pass
    Then router "vm-2" still takes requests
    When 200 fleet seconds pass
    Then the stop of "vm-2" has reached "done"

  Scenario: A router stays ready while the service is away and its stop is not announced
    Given the key-value service is out
    When router "vm-2" begins to stop and 1 fleet seconds pass
    Then router "vm-2" is not ready for callers
    And router "vm-2" still takes requests
    When 99 fleet seconds pass
    Then the stop of "vm-2" has reached "announce"
    And router "vm-2" is not ready for callers

  Scenario: The wait for answers ends early when the announcement came late
    Given the key-value service is out
    When router "vm-2" begins to stop and 100 fleet seconds pass
    And the key-value service returns and 39 fleet seconds pass
    Then the stop of "vm-2" has reached "wait_for_answers"
    And router "vm-2" still takes requests
    When 15 fleet seconds pass
    Then the stop of "vm-2" has reached "done"

  Scenario: A router that is told to stop while it joins begins to serve
    Given router "vm-4" takes 5 seconds to join the fleet
    When router "vm-4" begins to stop and 20 fleet seconds pass
    Then router "vm-4" is not ready for callers
    And no router names "vm-4"

  Scenario: A request without an end does not hold the stop for ever
    Given router "vm-2" has 1 requests in progress
    When router "vm-2" begins to stop and 295 fleet seconds pass
    Then the stop of "vm-2" has reached "finish_requests"
    When 20 fleet seconds pass
    Then the stop of "vm-2" has reached "done"
    And the stop of "vm-2" reports 1 cut request

  Scenario: A router that is fenced while it stops does not join again
    Given router "vm-2" has 1 requests in progress
    When router "vm-2" begins to stop and 5 fleet seconds pass
    And router "vm-2" is cut off for 20 fleet seconds
    And the incarnation of router "vm-2" is closed by router "vm-1"
    And router "vm-2" is reconnected and 30 fleet seconds pass
    Then router "vm-1" sees 2 members
    When the requests of "vm-2" end and 60 fleet seconds pass
    Then the stop of "vm-2" has reached "done"
    And router "vm-1" sees 2 members

  Scenario: All routers are replaced one after another
    Given callers keep the answers of every router while they hold
    When every router is drained and replaced by a new one, one after another
    Then every router named in an answer took requests while the answer held
    And no stop cut a request
