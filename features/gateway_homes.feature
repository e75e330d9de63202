Feature: Requests that may run in some regions only
  Routes and workspaces may have home regions. Where both have them, both bind.

  Background:
    Given a gateway before the services in region north, which knows region south

  Scenario Outline: Requests run in permitted regions only
    Given upstream app-1 of service app that "answers"
    And upstream app-2 of service app that "answers"
    And app-1 is listed in the south, and app-2 in the north
    And the home regions of the route are "<route>", and those of the workspace "<workspace>"
    When 6 requests after another read /get/a
    Then every answer has status 200, and only <upstreams> got requests

    Examples:
      | route       | workspace   | upstreams |
      | north       | none        | app-2     |
      | south       | none        | app-1     |
      | none        | south       | app-1     |
      | north,south | south       | app-1     |
      | north       | north,south | app-2     |

  Scenario Outline: Requests that may run nowhere are refused at once and do not run
    Given upstream app-1 of service app that "answers"
    And upstream app-1 is in <place>
    And the home regions of the route are "<route>", and those of the workspace "<workspace>"
    When 1 request after another reads /get/a
    Then the gateway answers 503
    And 0 requests reached an upstream
    And the request is counted as no_home_upstream

    Examples:
      | place          | route | workspace |
      | the north      | south | none      |
      | the north      | north | south     |
      | the north      | west  | none      |
      | an unknown one | north | none      |

  Scenario Outline: Callers are told addresses in their own or a home region
    Given gateways in the zones <zones>
    When a caller of region <region> asks for an address, and the home region is <home>
    Then it is told the addresses of <named>

    Examples:
      | zones                | region | home  | named                |
      | north-a,south-a      | north  | north | north-a              |
      | north-a,south-a      | south  | north | north-a,south-a      |
      | north-a,south-a      | west   | north | north-a              |
      | south-a              | west   | north | south-a              |
      | north-a,south-a      | west   | none  | north-a,south-a      |
