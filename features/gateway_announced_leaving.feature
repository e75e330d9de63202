Feature: Upstreams that announce in their answers that they are leaving
  No gateway sends requests to such an upstream, even if the store's list is outdated or unavailable.

  Scenario: A leaving upstream gets no more requests from any gateway
    Given a fleet of 3 gateways before 2 upstreams of service app
    When app-1 announces that it is leaving, and the gateways get requests on /get/ until one returns the announcement
    And the list still names app-1 as ready for 1 second
    And 6 callers send requests on /get/ for 4 seconds
    Then app-1 got no request after the announcement had reached all gateways
    And no request was refused

  Scenario: The announcement applies while the store is away
    Given a fleet of 3 gateways before 2 upstreams of service app
    When the store of the fleet is away
    And app-1 announces that it is leaving, and the gateways get requests on /get/ until one returns the announcement
    And 6 callers send requests on /get/ for 4 seconds
    Then app-1 got no request after the announcement had reached all gateways
    And no request was refused

  Scenario: Requests are refused when the only upstream is leaving
    Given a fleet of 2 gateways before 1 upstream of service app
    When app-1 announces that it is leaving, and the gateways get requests on /get/ until one returns the announcement
    And 2 callers send requests on /get/ for 2 seconds
    Then app-1 got no request after the announcement had reached all gateways
    And refused requests have not run and have a retry time

  Scenario: A restarted upstream with the same identifier gets requests
    Given a fleet of 1 gateway before 2 upstreams of service app
    When app-1 announces that it is leaving, and the gateways get requests on /get/ until one returns the announcement
    And app-1 restarts with the same identifier
    And 6 callers send requests on /get/ for 2 seconds
    Then app-1 got requests after its restart
    And no request was refused

  Scenario Outline: The adapter parses the leaving header of an answer
    When an answer has the leaving header "<header>"
    Then the leaving header is <result>

    Examples:
      | header | result    |
      | 1      | valid     |
      | 0      | malformed |
      | true   | malformed |
      | 1, 1   | malformed |
      |        | malformed |
