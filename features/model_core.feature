Feature: State machine over the budget functions
  Hypothesis draws sequences of draws, returns, runs, outages, closes and top-ups over the real budget
  record, ledger and journal. It draws the same ones in every run.

  Scenario: The functions keep every invariant
    When the state machine drives the budget functions
    Then no sequence of operations overspends the budget

  Scenario Outline: A defective holder is found
    When the state machine drives a holder that "<defect>"
    Then a sequence of operations is found with tokens "<broken>"

    Examples:
      | defect                                       | broken       |
      | credits returned tokens before debiting them | usable twice |
      | frees outage tokens of a closed incarnation  | usable twice |
      | ignores the operation sequence               | usable twice |
