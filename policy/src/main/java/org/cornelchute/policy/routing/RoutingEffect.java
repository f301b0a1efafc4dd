package org.cornelchute.policy.routing;

import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.Message;

/** What a {@link RequestDecider} asks its duty to do. */
public sealed interface RoutingEffect {

  /** Send a message to an agent; if it cannot be sent, the duty reports the agent as lost. */
  record Send(String agent, String address, Message message) implements RoutingEffect {}

  /** Begin the answer to a caller. */
  record StartResponse(String request, int status, String contentType, String manifest)
      implements RoutingEffect {}

  /** Continue the answer to a caller. */
  record AppendResponse(String request, byte[] bytes) implements RoutingEffect {}

  /** End the answer to a caller normally: it is whole. */
  record CompleteResponse(String request) implements RoutingEffect {}

  /** Break the answer off in a way that the caller can see. */
  record AbortResponse(String request, String reason) implements RoutingEffect {}

  /** Refuse a request, or say that its outcome is not known. */
  record Refuse(String request, Refusal refusal, String reason, int retryAfterSeconds)
      implements RoutingEffect {}

  /** Read a claim row. */
  record ReadClaim(String request, String row) implements RoutingEffect {}

  /** Write a claim row by compare-and-set; version 0 means that it must not exist. */
  record WriteClaim(String request, String row, long expectedVersion, Claim claim)
      implements RoutingEffect {}

  /** Write a decision to the log. */
  record Log(Decision decision) implements RoutingEffect {}
}
