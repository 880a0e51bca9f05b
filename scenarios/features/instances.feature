Feature: Requests and targets survive the stop, suspension and replacement of instances

  Scenario: An instance that is asked to stop completes its open requests first
    Given engines in these zones:
      | id | zone | tokenMs |
      | e1 | a    | 60      |
    And daemons a1,a2 in zone a
    And the targets are declared
    When the operator declares models aurora as {"bytes": 400}
    Then a1 sees models aurora ready
    And a2 sees models aurora ready
    When a caller streams "a b c d e f g h i j k l m n o p q r s t u v w x y z and on" from aurora through a1
    And a caller streams "z y x w v u t s r q p o n m l k j i h g f e d c b a and on" from aurora through a2
    And a1 is asked to stop
    Then every streamed answer is complete and belongs to its prompt
    And a1 ends with code 0
    When a caller streams "still here" from aurora through a2
    Then every streamed answer is complete and belongs to its prompt

  Scenario: Every instance of a zone can be restarted one after another under load without a failed request
    Given engines in these zones:
      | id | zone | tokenMs |
      | e1 | a    | 10      |
      | e2 | b    | 10      |
    And daemons a1,a2 in zone a
    And daemons b1 in zone b
    And the targets are declared
    When the operator declares models aurora as {"bytes": 400}
    Then a1 sees models aurora ready
    And a2 sees models aurora ready
    When 8 callers stream from aurora through a1
    And a1 is asked to stop
    Then a1 ends with code 0
    And every streamed answer is complete and belongs to its prompt
    When a1 starts again
    Then a1 sees models aurora ready
    When 8 callers stream from aurora through a2
    And a2 is asked to stop
    Then a2 ends with code 0
    And every streamed answer is complete and belongs to its prompt
    When a2 starts again
    Then a2 sees models aurora ready
    When the operator declares models second as {"bytes": 400}
    Then a1 sees models second ready
    And no engine was ordered to load more than fits its memory

  Scenario: A planner that is suspended beyond its lease is replaced and does no harm when it resumes
    Given engines in these zones:
      | id | zone | fencing  |
      | e1 | a    | enforced |
      | e2 | a    | ignored  |
    And daemons a1 in zone a
    And the targets are declared
    When the operator declares models aurora as {"bytes": 600}
    Then a1 sees models aurora ready
    And a1 owns the ledger of e1
    And a1 owns the ledger of e2
    When daemons a2 in zone a
    And a1 is suspended
    Then one of a2 becomes the planner of zone a
    And a2 owns the ledger of e1
    And a2 doesn't own the ledger of e2 for 3000 ms
    When the operator declares models second as {"bytes": 300} through a2
    Then a2 sees models second ready
    When a1 is resumed
    And the operator declares models third as {"bytes": 300} through a2
    Then a2 sees models third ready
    And a1 sees models third ready
    And no engine was ordered to load more than fits its memory

  Scenario: A target that ignores fencing gets a new owner once its killed planner is off the platform's instance list
    Given engines in these zones:
      | id | zone | fencing |
      | e1 | a    | ignored |
    And daemons a1 in zone a
    And the targets are declared
    When the operator declares models aurora as {"bytes": 400}
    Then a1 sees models aurora ready
    When daemons a2 in zone a
    And a1 is killed and removed from the platform's instance list
    Then a2 owns the ledger of e1
    When the operator declares models second as {"bytes": 400} through a2
    Then a2 sees models second ready
    And no engine was ordered to load more than fits its memory
