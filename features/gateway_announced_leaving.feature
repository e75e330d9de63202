Feature: Upstreams that announce in their answers that they leave
  The announcement counts at once and at all gateways, whatever the store's list says or can't say.

  Scenario: An upstream that announced its leaving gets no more requests from any gateway
    Given a fleet of 3 gateways before 2 upstreams of service app
    When app-1 announces that it leaves, and each gateway gets requests on /get/ until one passes that on
    And the list goes on to name app-1 as ready for 1 second
    And 6 callers send requests on /get/ for 4 seconds
    Then app-1 got no request after the announcement had been passed on
    And no request was refused

  Scenario: The announcement holds while the store is away
    Given a fleet of 3 gateways before 2 upstreams of service app
    When the store of the fleet is away
    And app-1 announces that it leaves, and each gateway gets requests on /get/ until one passes that on
    And 6 callers send requests on /get/ for 4 seconds
    Then app-1 got no request after the announcement had been passed on
    And no request was refused

  Scenario: Without another upstream the gateways refuse at once
    Given a fleet of 2 gateways before 1 upstream of service app
    When app-1 announces that it leaves, and each gateway gets requests on /get/ until one passes that on
    And 2 callers send requests on /get/ for 2 seconds
    Then app-1 got no request after the announcement had been passed on
    And refused requests have not run and have a retry time
