package org.cornelchute.core.message;

import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Load;

/** Messages between an entry and an agent about one request. */
public sealed interface ServingMessage extends Message {

  /** Identity of the request, unique over all entries. */
  String request();

  /** Number of the attempt, from 1; frames of an older attempt are dropped. */
  int attempt();

  /**
   * Asks the agent to run a request.
   *
   * @param request identity of the request
   * @param attempt number of the attempt
   * @param boot incarnation of the agent that the entry means
   * @param generation what the endpoint must serve for the answer to count
   * @param workspace payer of the request
   * @param weight weight of that workspace under the rules
   * @param priority order inside the workspace, higher first
   * @param cost estimated cost in tokens
   * @param repeatable whether a second run would do no harm
   * @param stream whether the answer is a stream of events
   * @param resumeAfter events that the caller already has from an earlier attempt
   * @param remainingMillis time until the caller's deadline
   * @param method HTTP method
   * @param path HTTP path at the endpoint
   * @param contentType type of the body, or empty
   * @param body the body, never null
   */
  record Dispatch(
      String request,
      int attempt,
      long boot,
      Generation generation,
      String workspace,
      int weight,
      int priority,
      int cost,
      boolean repeatable,
      boolean stream,
      int resumeAfter,
      long remainingMillis,
      String method,
      String path,
      String contentType,
      byte[] body)
      implements ServingMessage {}

  /** Tells the agent that nobody waits for the answer any more. */
  record Cancel(String request, int attempt) implements ServingMessage {}

  /**
   * Asks the agent what became of an attempt and, if it has not run, to make sure it never will.
   *
   * @param boot incarnation of the agent that the attempt was sent to
   */
  record Seal(String request, int attempt, long boot) implements ServingMessage {}

  /** Says that the attempt was not run and never will be, with the reason. */
  record NotRun(String request, int attempt, NotRunReason reason, Load load)
      implements ServingMessage {}

  /** Answers a seal: the agent cannot know whether the attempt ran. */
  record OutcomeUnknown(String request, int attempt, Load load) implements ServingMessage {}

  /** Answers a seal: the attempt is running and has no answer yet; the sender will hear of it. */
  record Running(String request, int attempt) implements ServingMessage {}

  /** Begins an answer. */
  record AnswerHead(
      String request, int attempt, int status, String contentType, Generation generation)
      implements ServingMessage {}

  /** Carries a part of an answer; parts are numbered from 0. */
  record AnswerPart(String request, int attempt, int index, byte[] bytes)
      implements ServingMessage {}

  /**
   * Ends an answer.
   *
   * @param parts number of parts sent
   * @param bytes their total size
   * @param complete whether the endpoint ended the answer itself; if not, the answer was cut off
   * @param tokens tokens generated, as far as the agent can tell
   */
  record AnswerEnd(
      String request, int attempt, int parts, long bytes, boolean complete, int tokens, Load load)
      implements ServingMessage {}

  /** Why a request was not run. */
  enum NotRunReason {
    /** The endpoint has no room. */
    BUSY,
    /** The endpoint serves another generation, or none. */
    GENERATION,
    /** The agent is leaving. */
    LEAVING,
    /** The endpoint's failure domain is out of service. */
    DOMAIN_OUT,
    /** The agent has restarted since. */
    OTHER_INCARNATION,
    /** The attempt was sealed before it ran. */
    SEALED,
    /** The caller's deadline passed in the queue. */
    DEADLINE,
    /** The agent knows no rules yet. */
    NO_RULES,
    /** The connection to the endpoint was refused. */
    ENDPOINT_DOWN,
    /** The caller went away before the request ran. */
    CANCELLED
  }
}
