Feature: The calls of a program run in the order of their numbers

  Scenario: Several callers send them out of order at both entries
    Given a shop and two entries
    And a program
    When a caller for each call sends it until it is served, the last calls first
    Then the shop has executed them once each, in the order of their numbers
    And every refusal said that the call was not run
