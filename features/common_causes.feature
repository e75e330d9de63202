Feature: What requests that crash upstreams have in common
  Each crash interrupts all requests of its upstream, so that most traits that are there are those of sound
  requests. A trait is the cause if it is there again and again, and no request that has it is answered.

  Scenario Outline: A trait is found after enough crashes
    Given traits of requests at crashes, of which 3 are required
    When requests with <traits> are <stage> at <crashes> crashes, 1 second apart
    Then <found> is found

    Examples:
      | traits | stage     | crashes | found   |
      | a+f    | begun     | 2       | nothing |
      | a+f    | begun     | 3       | f       |
      | f+b    | begun     | 3       | b       |
      | a+f    | sent      | 3       | f       |
      | a+f    | producing | 5       | nothing |

  Scenario: A trait of sound requests is refused together with the cause
    Given traits of requests at crashes, of which 3 are required
    When requests with a+f are begun at 3 crashes, 1 second apart
    And requests with a are begun at 1 crash of another upstream
    Then f is found
    And after that nothing is found

  # Guards against an evaluation that never ends, which stops the whole process, and against the
  # refusal of sound requests that share another part with the fatal ones.
  Scenario: The search for causes never ends when a trait is never the most likely one
    Given traits of requests at crashes, of which 3 are required
    When requests with a+f are sent at 5 crashes, 1 second apart, each after one with b has begun
    Then f is found
    And after that nothing is found

  # Guards against an evaluation that holds the event loop for longer than callers and peers wait.
  Scenario: The search for causes takes minutes after many crashes of large upstreams
    Given traits of requests at crashes, of which 3 are required
    When 128 upstreams with 128 requests of 16 traits each crash, 1 second apart
    Then p is found

  # Guards against evidence that is not the one of an incident and also makes the search run for ever.
  Scenario: Drawn evidence makes the search for causes run for ever
    Given evidence of 24 crashes that is drawn with seeds 1 to 300
    Then each search ends, and finds no trait twice and none that was not there

  Scenario: A trait that is answered between two crashes is refused
    Given traits of requests at crashes, of which 3 are required
    When requests with a are begun at 2 crashes, 1 second apart
    And a request with a is answered
    And requests with a are begun at 2 crashes, 1 second apart
    Then nothing is found

  Scenario: Upstreams that crash together count several times
    Given traits of requests at crashes, of which 3 are required
    When requests with a are begun at 5 crashes, 0 seconds apart
    Then nothing is found

  Scenario: One request that its caller repeats gets its parts refused
    Given traits of requests at crashes, of which 3 are required
    When the same request with a+b is begun at 4 crashes, 1 second apart
    Then nothing is found

  Scenario: Few answers while upstreams crash by themselves get a trait refused
    Given traits of requests at crashes, of which 3 are required
    And 2 of 10 other requests are answered
    When requests with a are begun at 4 crashes, 1 second apart
    Then nothing is found

  Scenario Outline: Requests with a fatal trait crash upstreams without end
    Given <upstreams> upstreams, <sound> sound and <fatal> fatal requests a second, <ambient> other crashes a second
    When <lost> of 100 reports are lost in 10 runs of 40 seconds
    Then the fatal trait is found within 3 seconds of its fifth crash each time
    And sound requests are never refused

    Examples:
      | upstreams | sound | fatal | ambient | lost |
      | 5         | 30    | 0.4   | 0       | 0    |
      | 5         | 30    | 2     | 0       | 30   |
      | 8         | 22    | 7.5   | 0       | 0    |
      | 8         | 22    | 2     | 0.5     | 5    |
      | 70        | 340   | 1     | 0.2     | 5    |

  Scenario Outline: Sound requests are refused while upstreams crash by themselves
    Given <upstreams> upstreams, <sound> sound and 0 fatal requests a second, <ambient> other crashes a second
    When 5 of 100 reports are lost in 10 runs of 40 seconds
    Then sound requests are never refused

    Examples:
      | upstreams | sound | ambient |
      | 5         | 3     | 0.5     |
      | 8         | 22    | 0.5     |
      | 8         | 22    | 1       |
