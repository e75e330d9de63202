Feature: Upstreams that refuse requests and ask for a pause
  A gateway sends no requests to an upstream until the retry time of its refusal has passed.

  Scenario: An upstream gets no requests during its pause
    Given a fleet of 1 gateway before 2 upstreams of service app
    And app-1 always refuses with a pause of "3" seconds
    When 6 callers send requests on /get/ for 3 seconds
    Then app-1 got at most 2 requests between 0.5 and 3 seconds after the first
    And no request was refused

  Scenario: All upstreams ask for a pause
    Given a fleet of 1 gateway before 2 upstreams of service app
    And app-1 always refuses with a pause of "4" seconds
    And app-2 always refuses with a pause of "2.5" seconds
    When 6 callers send requests on /get/ for 2 seconds
    Then app-1 got at most 2 requests between 0.5 and 4 seconds after the first
    And app-2 got at most 2 requests between 0.5 and 2.5 seconds after the first
    And refused requests have not run and have a retry time
    And no refusal has a retry time before the end of the pause of app-2

  Scenario: A request whose time is up during a pause is told to come back before its end
    Given a fleet of 1 gateway before 2 upstreams of service app
    And app-1 always refuses with a pause of "9" seconds
    And app-2 always refuses with a pause of "6" seconds
    When 6 callers send requests on /get/ for 1 seconds
    And a request on /get/ arrives whose time is up
    Then app-2 got at most 2 requests between 0.5 and 6 seconds after the first
    And refused requests have not run and have a retry time
    And no refusal has a retry time before the end of the pause of app-2

  Scenario: An upstream gets requests again after its pause
    Given a fleet of 1 gateway before 2 upstreams of service app
    And app-1 refuses once with a pause of "1.5" seconds
    When 6 callers send requests on /get/ for 4 seconds
    Then app-1 got at most 2 requests between 0.5 and 1.5 seconds after the first
    And app-1 got 10 or more requests later than 2.5 seconds after the first
    And no request was refused

  Scenario: A single request probes an upstream after its pause
    Given an upstream asked for a pause of 3 seconds at 10 s
    When an earlier request is answered at 11 s
    Then no request may be sent at 12.9 s
    When a request is sent at 13 s
    Then no request may be sent at 13.5 s
    When that request is answered at 13.6 s
    Then requests may be sent at 13.6 s

  Scenario: A longer pause is not shortened by a later one
    Given an upstream asked for a pause of 3 seconds at 10 s
    When it asks for a pause of 1 second at 10.5 s
    Then no request may be sent at 12.9 s
    And requests may be sent at 13 s

  Scenario: A refusal names a time before the end of a pause
    When requests are refused 0.0049, 0.294, 1.0051, 2.4949 and 2.5 seconds before a pause ends
    Then no retry time is before the end of the pause or more than 0.01 seconds after it

  Scenario Outline: The adapter parses the Retry-After header of an answer
    When an answer with status <status> has the Retry-After header "<header>"
    Then the pause is parsed as <pause>

    Examples:
      | status | header | pause     |
      | 503    | 3      | 3.0       |
      | 503    | 0.25   | 0.25      |
      | 200    | 3      | None      |
      | 429    | 3      | None      |
      | 503    | -1     | malformed |
      | 503    | soon   | malformed |
