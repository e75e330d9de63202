Feature: Upstreams that limit the rate of their requests
  An upstream in need names in its answers how many requests a second it accepts from all gateways together.

  Scenario: An upstream gets no more requests from all gateways together than it accepts
    Given a fleet of 4 gateways before 2 upstreams of service app
    And app-1 accepts "1" requests a second
    When 12 callers send requests on /get/ for 7 seconds
    Then app-1 got at most 11 requests in any 4 seconds, and 3 or more in all
    And none of them was refused

  Scenario: All upstreams of a service limit their rate
    Given a fleet of 4 gateways before 2 upstreams of service app
    And app-1 accepts "1" requests a second
    And app-2 accepts "2.5" requests a second
    When 12 callers send requests on /get/ for 7 seconds
    Then app-1 got at most 11 requests in any 4 seconds, and 3 or more in all
    And app-2 got at most 20 requests in any 4 seconds, and 9 or more in all
    And those refused have not run, and were told when to come back
