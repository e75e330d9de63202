Feature: Upstreams that are cold after their start
  A cold upstream tolerates few requests a second and crashes well above that. It has no requests yet, so
  all gateways prefer it at once: in a simulated day with two zones that returned cold, more requests than
  the platform allows reached one upstream within a second. Here the upstreams tolerate 11 requests a
  second, and the platform allows 1.5 times that and 5 more, of which at most 0.8 may be used. The first
  permits of an issuer come at half of the rate for four seconds, and a killed issuer is replaced after
  less than five: these bounds follow from that.

  Scenario Outline: A cold upstream gets no more requests than it bears, from all gateways together
    Given <count> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    When <cold> upstreams are listed as cold for 30 seconds
    And 2 seconds pass, and all gateways send cold upstreams what they may for 15 seconds<fault>
    Then in any second each cold upstream gets at most 17 requests, and <least> or more in all

    Examples:
      | count | lost | seed | cold | least | fault                                |
      | 3     | 0    | 501  | 1    | 100   |                                      |
      | 80    | 5    | 502  | 1    | 100   |                                      |
      | 80    | 5    | 503  | 4    | 100   |                                      |
      | 195   | 5    | 504  | 1    | 100   |                                      |
      | 80    | 5    | 505  | 1    | 50    | , while the issuer is killed         |
      | 80    | 5    | 506  | 1    | 50    | , while half of the gateways restart |
      | 80    | 5    | 507  | 1    | 25    | , while the fleet is split in two    |
      | 80    | 5    | 508  | 1    | 0     | , while the fleet is split in four   |
      | 9     | 30   | 509  | 2    | 25    | , while the issuer is killed         |

  Scenario: An upstream that turns cold without a restart is known to be cold everywhere
    Given 80 gateways that know each other, losing 5 of 100 digests, seed 510
    When 1 upstreams are listed as cold for 3 seconds
    Then within 2 seconds every gateway knows that they are cold
    And 4 seconds after the list says otherwise none does

  Scenario: The upstreams of a restored zone are cold before the list says so
    Given 80 gateways that know each other, losing 2 of 100 digests, seed 511
    When the operators evacuate a zone
    And 3 seconds pass in the fleet
    And the operators end the evacuation
    Then every gateway that heeds the end of the evacuation counts the upstreams as cold

  Scenario: An answer that says the upstream is cold reaches all gateways
    Given 80 gateways that know each other, losing 0 of 100 digests, seed 512
    When an answer to one gateway says that an upstream is cold for 2 seconds
    Then 0.1 seconds later every gateway knows that it is cold

  Scenario: Requests that a cold upstream does not bear go to another one
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream app-2 of service app that "answers"
    When upstream app-1 is listed as cold
    And 30 requests after another read /get/a
    Then every request is answered, and app-1 got at most 12 of them

  Scenario: When all upstreams are cold, requests beyond what they bear are refused with a retry time
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When upstream app-1 is listed as cold
    And 30 requests are sent at once
    Then at most 12 of them are answered, and the others are refused with a retry time

  Scenario Outline: A cold time that makes no sense counts as the longest one
    When an entry has the cold time <value>
    Then the upstream counts as cold for <seconds> seconds

    Examples:
      | value     | seconds  |
      | 0         | 0        |
      | 1500      | 1.5      |
      | -3        | inf      |
      | 1e300     | inf      |
      | "soon"    | inf      |
      | null      | inf      |
      | true      | inf      |
      | [1]       | inf      |

  Scenario Outline: The adapter parses the cold time of an answer
    When an answer has the cold time "<header>"
    Then its upstream counts as cold for <seconds> seconds

    Examples:
      | header | seconds |
      | 2000   | 2       |
      | 0      | 0       |
      | -1     | inf     |
      | soon   | inf     |
      | 1e9    | inf     |

  Scenario Outline: The rate of permits leaves room below the platform's limit
    When an upstream tolerates <tolerated> requests a second, and the platform allows <excess> times that and <slack> more
    Then permits are granted at <rate> requests a second

    Examples:
      | tolerated | excess | slack | rate  |
      | 11        | 1.5    | 5     | 10.13 |
      | 11        | 1      | 0     | 4.53  |
      | 100       | 1.5    | 5     | 81.33 |
      | 2         | 1.5    | 5     | 2     |
      | 1         | 1      | 0     | 0.1   |
