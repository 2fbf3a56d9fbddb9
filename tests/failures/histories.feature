Feature: The histories of programs are never mixed

  Scenario: Programs and their sub-agents run at once through two entries
    Given an engine that takes its time, and two entries
    And a program and a sub-agent at each entry
    When all of them make 5 turns at once, at the two entries in turn
    Then each prompt that the engine was sent is one program's whole history

  Scenario: An entry is killed while they run
    Given an engine that takes its time, and two entries
    And a program and a sub-agent at each entry
    When all of them make 6 turns at once, and entry-1 is killed after the second of each
    Then each prompt that the engine was sent is one program's whole history
