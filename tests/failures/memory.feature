Feature: Engine memory of programs whose owner is lost

  Scenario: The only entry is killed in a pause of a program
    Given an engine, the process beside it and one entry
    And a program that has made a chat
    When the engine lists the program's prefix
    And entry-1 is killed
    Then the engine lists nothing once the lease has run out
    And the engine has released the program's prefix once
