Feature: Prompt parts that crash the upstreams that run them
  One part of a prompt crashed every upstream that began to answer a request with it. No two of these requests
  were alike, so that no content was ever seen at two crashes, and they came at all gateways.

  Scenario Outline: Requests with one prompt part crash upstreams one after the other
    Given a fleet of 3 gateways before 8 upstreams of service llm
    And prompt part <fatal> crashes all upstreams after <events> events, and another one starts for each
    When for <seconds> seconds 20 callers stream with parts <sound>, and others with parts <parts> on <target>, seed <seed>
    Then at most 3 requests with a fatal part are sent to upstreams later than 1 second after its fifth crash
    And later than 2 seconds after it half as many sound requests are answered at the first attempt as were before

    Examples:
      | fatal | events | sound | parts               | target  | seconds | seed |
      | f     | 0      | a     | a+f                 | /ask/   | 9       | 1    |
      | f     | 0      | a+b   | a+f                 | /draft/ | 9       | 2    |
      | f     | 1      | a     | a+f                 | /ask/   | 9       | 3    |
      | f     | 1      | a+b   | a+b+f               | /draft/ | 9       | 4    |
      | f     | 0      | a+b   | f+b                 | /ask/   | 9       | 5    |
      | f,g   | 0      | a     | a+f,a+g             | /ask/   | 12      | 6    |

  Scenario: Requests with one prompt part crash upstreams that also crash by themselves
    Given a fleet of 3 gateways before 8 upstreams of service llm
    And prompt part f crashes all upstreams after 0 events, and another one starts for each
    And one upstream crashes by itself every 2 seconds
    When for 12 seconds 20 callers stream with parts a, and others with parts a+f on /ask/, seed 7
    Then at most 3 requests with a fatal part are sent to upstreams later than 1 second after its fifth crash
    And later than 2 seconds after it half as many sound requests are answered at the first attempt as were before

  Scenario: Upstreams that crash by themselves get requests refused for a prompt part
    Given a fleet of 3 gateways before 8 upstreams of service llm
    And prompt part f crashes all upstreams after 0 events, and another one starts for each
    And one upstream crashes by itself every 1 seconds
    When for 12 seconds 20 callers stream with parts a, and others with parts a+b on /ask/, seed 8
    Then nothing was refused for its content or its parts

  Scenario: Upstreams that all crash at once get requests refused for a prompt part
    Given a fleet of 3 gateways before 8 upstreams of service llm
    And prompt part f crashes all upstreams after 0 events, and another one starts for each
    And 7 upstreams crash by themselves at once after 2 seconds
    When for 5 seconds 20 callers stream with parts a, and others with parts a+b on /ask/, seed 9
    Then nothing was refused for its content or its parts
