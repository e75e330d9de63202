Feature: The verdict of a run of all scenarios
  Known faults pass and are printed; all others fail the run.

  Scenario Outline: A run <what>
    Given scenario "one" ended as "<one>" and scenario "two" as "<two>"
    And the known list names "<known>"
    When behave exits with <code>
    Then the verdict says "<said>" and "<counts>", and the run <end>

    Examples:
      | what                                       | one    | two    | known       | code | said                                        | counts             | end    |
      | in which all pass                          | passed | passed |             | 0    |                                             | 2 passed, 0 failed | passes |
      | with a failure                             | passed | failed |             | 1    | failed: two                                 | 1 passed, 1 failed | fails  |
      | with an error                              | passed | error  |             | 1    | failed: two                                 | 1 passed, 1 failed | fails  |
      | with a known failure                       | passed | failed | two, seen   | 1    | known red: two                              | 1 passed, 0 failed | passes |
      | with a known failure and another           | failed | failed | two, seen   | 1    | failed: one                                 | 0 passed, 1 failed | fails  |
      | with a known fault that is no scenario     | passed | passed | a day, seed | 0    | known red, not run here: a day, seed        | 2 passed, 0 failed | passes |
      | in which behave itself breaks              | passed | passed |             | 2    | behave itself exited with 2                 | 2 passed, 1 failed | fails  |
      | in which only known failures are left      | failed | failed | two, seen   | 1    | known red: two                              | 0 passed, 1 failed | fails  |

  Scenario: A known failure may have a comma in its name
    Given scenario "one" ended as "passed" and scenario "two, three" as "failed"
    And the known list names "two, three, make test, seen once"
    When behave exits with 1
    Then the verdict says "known red: two, three" and "1 passed, 0 failed", and the run passes

  Scenario: A failure is printed with what it said
    Given scenario "one" ended as "passed" and scenario "two" as "failed"
    And the known list names ""
    When behave exits with 1
    Then the verdict says "  a reason" and "1 passed, 1 failed", and the run fails
