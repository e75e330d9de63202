Feature: Requests at a gateway that is told to stop
  Callers keep an address for some seconds and use open connections until they are closed, so requests
  reach a gateway until its process ends.

  Background:
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream llm-1 of service llm that "streams slowly"

  Scenario: Requests and address lookups at a stopping gateway are counted
    When the gateway is told to stop
    And 0.2 seconds later a caller reads /get/a
    And a caller looks its addresses up
    Then the stopping gateway counts 1 request and 1 address answer
