Feature: Workspace limits shared between routers
  The routers together never use more of a workspace's limits than there is, however late they see
  each other's claims, and shares follow demand.

  Scenario Outline: Late views and lost writes never let the parts in use exceed the whole
    Given 4 routers that share a limit of 7 streams over late views, seed <seed>
    When they claim parts under changing demand for 3000 steps
    Then the parts in use never added up to more than the whole
    And parts moved between routers at least 20 times

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: The check finds routers that use a claim before reading it back
    Given 4 routers that share a limit of 7 streams over late views, seed 1
    And the routers use their claims without reading them back
    When they claim parts under changing demand for 3000 steps
    Then the parts in use added up to more than the whole

  Scenario: The home routers hold a limit before the first request
    Given 4 routers that share a limit of 9 streams over prompt views
    When no requests come for 30 steps
    Then 3 routers may use 3 streams each

  Scenario: A limit follows the demand
    Given 4 routers that share a limit of 9 streams over prompt views
    When all requests come to router 0 for 400 steps
    Then router 0 may use at least 8 streams

  Scenario: The claim of a router whose lease lapsed counts until its VM is gone
    Given 4 routers that share a limit of 9 streams over prompt views
    When no requests come for 30 steps
    And the lease of a router that holds a part lapses
    And all requests come to another router for 100 steps
    Then the parts in use with those of the lapsed router never exceed the whole
    When the VM of the lapsed router is gone from the VM list
    And all requests come to another router for 400 steps
    Then that other router may use at least 8 streams

  Scenario: A router that joins again under a new incarnation starts from nothing
    Given 4 routers that share a limit of 9 streams over prompt views
    When no requests come for 30 steps
    And a router that holds a part joins again under a new incarnation
    Then it may use nothing until its new claim is read back

  Scenario: A workspace above its rate is refused at once and told when to retry
    Given a router that holds the whole of a limit of 5 requests a second
    When 20 requests come at once
    Then 5 requests are within the rate and the others are refused with rate_limited
    And a request that waits for the stated time is within the rate

  Scenario: A stream above the limit is refused, and admitted when another ends
    Given a router that holds the whole of a limit of 2 concurrent streams
    When 3 requests come at once
    Then the last one is refused with streams_limited
    And after one stream ends the next request is admitted

  Scenario: The routers that address answers name are those with a share before any demand
    Given 9 routers in 3 zones and 40 limited quiet workspaces
    Then each workspace's shares are claimed by its homes and no other router
