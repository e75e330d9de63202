Feature: Streams across software versions, at gateways as real processes
  Callers lose their streams after two events and resume them at other gateways, while upstreams of two versions serve.

  Scenario Outline: A resumed stream is joined from two versions after <fault>
    Given 6 gateway processes before upstreams of two versions, 3 of each
    When 60 callers each get 2 events of a stream, then <fault>, and each resumes at another gateway
    Then no stream has events of two versions
    And at least <least> of 60 streams are whole

    Examples:
      | fault                             | least |
      | nothing happens                   | 60    |
      | 3 gateways are killed             | 30    |
      | all gateways are killed           | 0     |
      | 2 upstreams of version v1 leave   | 60    |
      | all upstreams of version v1 leave | 10    |
