Feature: Callers get correct answers when targets fail, leave or stop responding

  Background:
    Given a caller setting idleMs of 400
    And engines in these zones:
      | id | zone | tokenMs |
      | e1 | a    | 20      |
      | e2 | a    | 20      |
    And a service target s1 in zone a for alerts
    And daemons a1,a2 in zone a
    And the targets are declared
    And the operator declares models aurora as {"bytes": 400}
    And the operator declares services alerts as {"nonIdempotent": true}
    And a1 sees models aurora ready
    And a2 sees models aurora ready
    And a1 sees services alerts ready

  Scenario: A stream whose connection breaks is resumed without a gap
    When e1 gets the fault {"cutAfterTokens": 3}
    And e2 gets the fault {"cutAfterTokens": 3}
    And a caller streams "one two three four five six seven eight" from aurora through a1
    And a caller streams "nine ten eleven twelve thirteen fourteen" from aurora through a2 as non-idempotent
    Then every streamed answer is complete and belongs to its prompt
    And the engines that are running have run the prompt "nine ten eleven twelve thirteen fourteen" 1 time

  Scenario: A stream that stops sending is resumed on a new connection
    When e1 gets the fault {"silentAfterTokens": 3}
    And e2 gets the fault {"silentAfterTokens": 3}
    And a caller streams "one two three four five six seven eight" from aurora through a1 as non-idempotent
    Then every streamed answer is complete and belongs to its prompt
    And the engines that are running have run the prompt "one two three four five six seven eight" 1 time

  Scenario: A model whose engine is killed is loaded on another engine and answers again
    When the engine that holds aurora is killed
    Then a1 sees models aurora ready on another engine
    When a caller streams "is anybody there" from aurora through a2
    Then every streamed answer is complete and belongs to its prompt
    And no engine was ordered to load more than fits its memory

  Scenario: A non-idempotent request on an engine that is killed isn't run again
    When a caller streams "a b c d e f g h i j k l m n o p q r s t u v w x y z a b c d e f" from aurora through a1 as non-idempotent
    And the engines have started the prompt "a b c d e f g h i j k l m n o p q r s t u v w x y z a b c d e f"
    And the engine that holds aurora is killed
    Then the last streamed answer ends with an error and without the closing event
    And the engines that are running have run the prompt "a b c d e f g h i j k l m n o p q r s t u v w x y z a b c d e f" 0 times

  Scenario: If a service's answer to a non-idempotent call is lost, the caller gets status 502 and the run state "unknown"
    When s1 gets the fault {"loseAnswers": 1}
    And a caller posts "wake lodge 7" to service alerts through a1
    Then the last post is answered with status 502
    And the answer to the last post says that the run state is "unknown"
    And s1 has run the request with the text "wake lodge 7" 1 time

  Scenario: Calls with the same idempotency key run once, whichever instance they go through
    When s1 gets the fault {"delayMs": 500}
    And a caller posts "one suit for one family" to service alerts through a1 with key k1
    And a caller posts "one suit for one family" to service alerts through a2 with key k1
    And a caller posts "one suit for one family" to service alerts through a1 with key k1
    Then every post was answered, and at least one with status 200
    And s1 has run the request with the text "one suit for one family" 1 time
    When a caller posts "one suit for one family" to service alerts through a2 with key k1
    Then the last post is answered with status 200
    And s1 has run the request with the text "one suit for one family" 1 time

  Scenario: A call with an idempotency key runs once if the KV service's response to its claim is lost
    When platform gets the fault {"loseAnswers": 1}
    And a caller posts "lost claim" to service alerts through a1 with key k2
    Then the last post is answered with status 200
    And s1 has run the request with the text "lost claim" 1 time

  Scenario: Without the KV service a call with an idempotency key is refused and doesn't run
    When platform gets the fault {"down": true}
    And a caller posts "no claim" to service alerts through a1 with key k3
    Then the last post is answered with status 503
    And the answer to the last post says that the run state is "no"
    And s1 has run the request with the text "no claim" 0 times
    When a caller streams "the models still answer" from aurora through a1
    Then every streamed answer is complete and belongs to its prompt

  Scenario: Models are loaded without exceeding memory if orders and responses to orders are lost
    When e1 gets the fault {"loseOrders": 2, "loseOrderAnswers": 2}
    And e2 gets the fault {"loseOrders": 2, "loseOrderAnswers": 2}
    And the operator declares models second as {"bytes": 500}
    And the operator declares models third as {"bytes": 500}
    Then a1 sees models second ready
    And a1 sees models third ready
    And no engine was ordered to load more than fits its memory

  Scenario: A leaving target gets no new requests, and its minimum replicas are loaded on another engine
    When 6 callers stream from aurora through a1
    And the engine that holds aurora reports that it is leaving
    Then a2 sees models aurora ready on another engine
    And every streamed answer is complete and belongs to its prompt
    When 6 callers stream from aurora through a2
    Then every streamed answer is complete and belongs to its prompt
    And the leaving engine has started no request since then

  Scenario Outline: A target gets no new requests if the <source> says that it is leaving
    When 4 callers stream from aurora through a1
    And the engine that holds aurora is <how>
    Then a1 sees models aurora ready on another engine
    And a2 sees models aurora ready on another engine
    And every streamed answer is complete and belongs to its prompt
    When 6 callers stream from aurora through a1
    And 6 callers stream from aurora through a2
    Then every streamed answer is complete and belongs to its prompt
    And the leaving engine has started no request since then

    Examples:
      | source                   | how                                                 |
      | operator                 | drained by the operator                             |
      | platform's instance list | marked as leaving in the platform's instance list   |

  Scenario: A request that crashes its targets is refused after some attempts, and other requests still get their answers
    When the operator declares placements wide as {"item": "aurora", "minReplicas": 2}
    Then a1 sees models aurora with a replica on e1
    And a1 sees models aurora with a replica on e2
    When every engine is restarted whenever its process exits
    And 8 callers stream from aurora through a1
    And a caller sends the crashing request through a1 until it is refused with status 422
    Then every streamed answer is complete and belongs to its prompt
    And the crashing request is refused through a2 with status 422
