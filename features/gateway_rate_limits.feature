Feature: Upstreams that limit the rate of their requests
  An upstream announces in its answers how many requests a second it accepts from all gateways together.

  Scenario: All gateways together keep to the rate limit of an upstream
    Given a fleet of 4 gateways before 2 upstreams of service app
    And app-1 accepts "1" requests a second
    When 12 callers send requests on /get/ for 7 seconds
    Then app-1 got at most 11 requests in any 4 seconds, and 3 or more in all
    And no request was refused

  Scenario: Requests wait or are refused when all upstreams of a service limit their rate
    Given a fleet of 4 gateways before 2 upstreams of service app
    And app-1 accepts "1" requests a second
    And app-2 accepts "2.5" requests a second
    When 12 callers send requests on /get/ for 7 seconds
    Then app-1 got at most 11 requests in any 4 seconds, and 3 or more in all
    And app-2 got at most 20 requests in any 4 seconds, and 9 or more in all
    And refused requests have not run and have a retry time

  Scenario: An upstream gets its share of the requests again after its limit ends
    Given a fleet of 4 gateways before 2 upstreams of service app
    And app-1 accepts "1" requests a second
    When 12 callers send requests on /get/ for 3 seconds
    And app-1 withdraws its limit
    And 12 callers send requests on /get/ for 6 seconds
    Then app-1 got 60 or more requests in all
    And no request was refused

  Scenario: An upstream that accepts no requests still gets one occasionally
    Given a fleet of 2 gateways before 2 upstreams of service app
    And app-1 accepts "0" requests a second
    When 4 callers send requests on /get/ for 6 seconds
    Then app-1 got at most 5 requests in any 4 seconds, and 1 or more in all
    And no request was refused

  Scenario Outline: Fleets of different sizes keep to one limit during losses and failures
    Given <count> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    When an upstream announces a limit of <rate> requests a second to one gateway
    And 1 second passes, and all gateways request permits for 20 seconds<fault>
    Then in any 4 seconds at most <most> requests are permitted, and <least> or more in all

    Examples:
      | count | lost | seed | rate | most | least | fault                                |
      | 3     | 0    | 201  | 1    | 11   | 12    |                                      |
      | 9     | 0    | 202  | 1    | 11   | 12    |                                      |
      | 9     | 5    | 203  | 1    | 11   | 10    |                                      |
      | 9     | 5    | 204  | 20   | 125  | 200   |                                      |
      | 83    | 5    | 205  | 2.5  | 20   | 25    |                                      |
      | 195   | 5    | 206  | 1    | 11   | 10    |                                      |
      | 9     | 5    | 207  | 4    | 29   | 40    | , while the issuer is killed         |
      | 9     | 5    | 208  | 4    | 29   | 40    | , while half of the gateways restart |
      | 83    | 30   | 209  | 4    | 29   | 20    | , while the issuer is killed         |

  Scenario: Denied gateways spread out their requests for permits
    Given 195 gateways that know each other, losing 0 of 100 digests, seed 210
    When an upstream announces a limit of 10 requests a second to one gateway
    And 1 second passes, and all gateways continuously need immediate permits for 10 seconds
    Then gateways make at most 120 calls a second, and 5 or more permits a second are granted

  Scenario Outline: The adapter parses the limit header of an answer
    When an answer has the limit header "<header>"
    Then the limit is read as <rate>

    Examples:
      | header           | rate      |
      | 1                | 1.0       |
      | 0.25             | 0.25      |
      | 12.              | 12.0      |
      | 0                | 0.0       |
      | 3\|2             | 2.0       |
      | -1               | malformed |
      | nan              | malformed |
      | inf              | malformed |
      | 1e308            | malformed |
      | 1,5              | malformed |
      | 3\|x             | malformed |
      | 1234567890123456 | malformed |
      | (empty)          | malformed |
