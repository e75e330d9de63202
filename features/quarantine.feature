Feature: Which content is put into quarantine
  A crash breaks all requests of an upstream, so that most that are there are innocent. The content that is
  there at each crash is not, and innocent content is answered sooner or later.

  Scenario Outline: Content is held after enough crashes
    Given a quarantine for content that crashes 3 upstreams
    When content a is <stage> at crashes of <crashed>
    Then held are <held>

    Examples:
      | stage     | crashed        | held    |
      | begun     | u1, u2         | nothing |
      | begun     | u1, u2, u3     | a       |
      | sent      | u1, u2, u3     | a       |
      | producing | u1, u2, u3     | a       |
      | begun     | u1, u1, u2, u2 | nothing |

  Scenario Outline: A likelier cause excuses the others at its crash
    Given a quarantine for content that crashes 3 upstreams
    When content a is begun at crashes of u1, u2, u3
    And content b is <stage> at crashes of u1, u2, u3
    Then held are <held>

    Examples:
      | stage     | held |
      | producing | a    |
      | sent      | a    |
      | begun     | a, b |

  Scenario: Content that is there again and again without an answer is no bystander
    Given a quarantine for content that crashes 3 upstreams
    When content a is sent at crashes of u1, u2, u3, u4, u5
    And other content is begun at each of these crashes
    Then held are a

  Scenario: However often upstreams crash by themselves, content is held after five crashes
    Given a quarantine for content that crashes 3 upstreams
    When content b is begun at crashes of v1, v2
    And content c is begun at crashes of v3, v4
    And content d is begun at crashes of v5, v6
    And content e is begun at crashes of v7, v8
    And content a is begun at crashes of u1, u2, u3, u4, u5
    Then held are a

  Scenario: While upstreams crash by themselves, three crashes are not enough
    Given a quarantine for content that crashes 3 upstreams
    When content b is begun at crashes of v1, v2
    And content c is begun at crashes of v3, v4
    And content d is begun at crashes of v5, v6
    And content a is begun at crashes of u1, u2, u3, u4
    Then held are nothing

  Scenario: Content that has produced output each time stays a bystander
    Given a quarantine for content that crashes 3 upstreams
    When content a is producing at crashes of u1, u2, u3, u4, u5
    And other content is begun at each of these crashes
    Then held are nothing

  Scenario: An answer clears its content
    Given a quarantine for content that crashes 3 upstreams
    When content a is begun at crashes of u1, u2
    And content a is answered
    And content a is begun at crashes of u3, u4
    Then held are nothing

  Scenario: An answer leaves the crashes to the other content
    Given a quarantine for content that crashes 3 upstreams
    When content a is begun at crashes of u1, u2, u3
    And content b is sent at crashes of u1, u2, u3
    And content c is sent at crashes of u1, u2
    And content a is answered
    Then held are a, b

  Scenario: Neither order nor repetition of the evidence matters
    Given a quarantine for content that crashes 3 upstreams
    Then 200 orders of the same evidence, some of it twice, come to the same conclusion

  Scenario: Old crashes count no more
    Given a quarantine for content that crashes 3 upstreams
    When content a is begun at crashes of u1, u2
    And 601 seconds pass in quarantine
    And content a is begun at crashes of u3
    Then held are nothing

  Scenario: A quarantine ends, and one more crash begins a longer one
    Given a quarantine for content that crashes 3 upstreams
    When content a is begun at crashes of u1, u2, u3
    And 601 seconds pass in quarantine
    Then held are nothing
    When content a is begun at crashes of u4
    Then held are a
    And it lasts 1200 seconds

  Scenario: An answer after a quarantine clears the content
    Given a quarantine for content that crashes 3 upstreams
    When content a is begun at crashes of u1, u2, u3
    And 601 seconds pass in quarantine
    And content a is answered
    And content a is begun at crashes of u4
    Then held are nothing

  Scenario: After a quarantine and as long again, content starts anew
    Given a quarantine for content that crashes 3 upstreams
    When content a is begun at crashes of u1, u2, u3
    And 1201 seconds pass in quarantine
    And content a is begun at crashes of u4, u5
    Then held are nothing

  Scenario: Word of another router is taken, and its end is not put off
    Given a quarantine for content that crashes 3 upstreams
    When another router holds a for 60 more seconds
    And 59 seconds pass in quarantine
    And another router holds a for 1 more seconds
    Then held are a
    When 2 seconds pass in quarantine
    Then held are nothing
    When content a is begun at crashes of u4
    Then held are a

  Scenario Outline: One culprit among many requests is held, and nobody else
    Given a quarantine for content that crashes 3 upstreams
    When <upstreams> upstreams of 40 requests each crash under one request, with seed <seed>
    Then held is the culprit alone, after 3 crashes

    Examples:
      | upstreams | seed |
      | 5         | 1    |
      | 5         | 2    |
      | 5         | 3    |
      | 30        | 4    |
      | 30        | 5    |

  Scenario Outline: Many crashes without a culprit hold nothing
    Given a quarantine for content that crashes 3 upstreams
    When <upstreams> upstreams of 40 requests each crash by themselves 200 times, with seed <seed>
    Then held are nothing

    Examples:
      | upstreams | seed |
      | 5         | 1    |
      | 5         | 2    |
      | 5         | 3    |
      | 30        | 4    |

  Scenario: What is remembered is bounded
    Given a quarantine for content that crashes 3 upstreams
    When 300 upstreams crash under 600 contents each
    Then at most 128 crashes of 512 contents are remembered
