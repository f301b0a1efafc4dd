package org.cornelchute.core.message;

import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Load;

/** Messages between an entry and an agent about one request. */
public sealed interface ServingMessage extends Message {

  /** Id of the request, unique across all entries. */
  String request();

  /** Number of the attempt, from 1; frames of an earlier attempt are ignored. */
  int attempt();

  /**
   * Asks the agent to run a request.
   *
   * @param request id of the request
   * @param attempt number of the attempt
   * @param boot incarnation of the agent that is to run the request; another one refuses it
   * @param generation generation that the endpoint must serve
   * @param workspace workspace that the request is accounted to
   * @param weight weight of that workspace under the rules
   * @param priority priority within the workspace; higher values are run first
   * @param cost estimated cost in tokens
   * @param repeatable whether the request may safely be run more than once
   * @param stream whether the answer is a stream of events
   * @param resumeAfter number of events that the caller has received from an earlier attempt
   * @param remainingMillis time until the caller's deadline
   * @param method HTTP method
   * @param path HTTP path at the endpoint
   * @param contentType content type of the body, or empty
   * @param body body of the request, never null
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

  /** Tells the agent that the caller no longer waits for the answer. */
  record Cancel(String request, int attempt) implements ServingMessage {}

  /**
   * Requests the outcome of an attempt. If the attempt has not run, the agent seals it: it records
   * that the attempt must never run, and the entry can safely retry on another endpoint.
   *
   * @param boot incarnation of the agent that the attempt was sent to
   */
  record Seal(String request, int attempt, long boot) implements ServingMessage {}

  /** Reports that the attempt was not run and never will be, with the reason. */
  record NotRun(String request, int attempt, NotRunReason reason, Load load)
      implements ServingMessage {}

  /** Answers a {@link Seal}: the agent cannot determine whether the attempt ran. */
  record OutcomeUnknown(String request, int attempt, Load load) implements ServingMessage {}

  /** Answers a {@link Seal}: the attempt is still running; its answer is sent when it is known. */
  record Running(String request, int attempt) implements ServingMessage {}

  /** Starts an answer. */
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
   * @param bytes total size of the parts
   * @param complete whether the endpoint completed the answer; false if the answer is truncated
   * @param tokens number of generated tokens, as far as known to the agent
   */
  record AnswerEnd(
      String request, int attempt, int parts, long bytes, boolean complete, int tokens, Load load)
      implements ServingMessage {}

  /** Reason why an attempt was not run. */
  enum NotRunReason {
    /** The agent or its endpoint has no free capacity. */
    BUSY,
    /** The endpoint serves another generation, or none. */
    GENERATION,
    /** The agent is leaving and accepts no new requests. */
    LEAVING,
    /** The endpoint's failure domain is out of service. */
    DOMAIN_OUT,
    /** The attempt was sent to an earlier incarnation of the agent, which has since restarted. */
    OTHER_INCARNATION,
    /** The attempt was sealed before it ran. */
    SEALED,
    /** The caller's deadline passed while the request was queued. */
    DEADLINE,
    /** The agent has not received any rules yet. */
    NO_RULES,
    /** The connection to the endpoint was refused. */
    ENDPOINT_DOWN,
    /** The request was canceled before it ran. */
    CANCELLED
  }
}
