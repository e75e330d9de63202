Feature: Bounded queues with early refusal
  Requests wait in bounded queues, by priority and deadline and fairly between workspaces; one that
  cannot be served in time is refused at once.

  Scenario: A request whose deadline is shorter than the queue is refused at once
    Given an admission queue that moves 2 requests a second and holds 8
    When a request with a deadline of 1 second arrives
    Then it is refused with deadline_exceeded without any delay
    And the refusal says that it was never sent and when to retry

  Scenario: A request is refused at once when the wait would be too long
    Given an admission queue that moves 2 requests a second and holds 40
    When a request with a deadline of 60 seconds arrives
    Then it is refused with queue_full without any delay
    And the refusal says that it was never sent and when to retry

  Scenario: A high-priority request pushes the lowest one out of a full queue
    Given a full admission queue of 4 low-priority requests
    When a high-priority request arrives
    Then one low-priority request is refused with queue_full
    And the high-priority request leaves the queue first

  Scenario: A workspace cannot fill the queue of others
    Given an admission queue for 8 requests of which one workspace may fill half
    When that workspace sends 6 requests
    Then 2 of them are refused with queue_full
    And a request of another workspace may wait

  Scenario: Workspaces share departures by tokens
    Given a queue with 20 requests of 100 tokens of one workspace and 5 requests of 400 tokens of another
    When 10 requests leave
    Then between 7 and 9 of them are of the first workspace

  Scenario: The earliest deadline of a workspace goes first
    Given a queue with requests of one workspace due in 30, 10 and 20 seconds
    Then they leave in the order 10, 20, 30

  Scenario: A low-priority request does not starve
    Given a queue in which high-priority requests always wait and one low-priority request
    When 16 requests leave
    Then the low-priority request is among them

  Scenario: A caller that leaves the queue gives its place and its stream back
    Given a lone engine with all slots taken and one caller waiting
    When the waiting caller leaves and the slots come free
    Then nothing waits and nothing is in flight

  Scenario: Leaving twice gives back one place
    Given a permit of a request that was never dispatched
    When its holder leaves twice
    Then nothing waits and nothing is in flight

  Scenario: Re-runs are bounded by a share of the requests
    Given a retry budget of one retry in five requests with its burst used up
    When 20 requests are counted
    Then 4 retries are allowed and the fifth is denied
