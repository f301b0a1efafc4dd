package org.cornelchute.policy.routing;

import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.Message;

/** Effect that a {@link RequestDecider} returns for its duty to execute. */
public sealed interface RoutingEffect {

  /**
   * Send a message to an agent. The duty reports a message that could not be sent to {@link
   * RequestDecider#onSendFailure}.
   */
  record Send(String agent, String address, Message message) implements RoutingEffect {}

  /** Send the response head to the caller. */
  record StartResponse(String request, int status, String contentType, String manifest)
      implements RoutingEffect {}

  /** Send a part of the response body to the caller. */
  record AppendResponse(String request, byte[] bytes) implements RoutingEffect {}

  /** End the response normally because it is complete. */
  record CompleteResponse(String request) implements RoutingEffect {}

  /** Abort the response so that the caller can tell that it is incomplete. */
  record AbortResponse(String request, String reason) implements RoutingEffect {}

  /** Refuse a request or report that its outcome is unknown. */
  record Refuse(String request, Refusal refusal, String reason, int retryAfterSeconds)
      implements RoutingEffect {}

  /** Read a claim row. */
  record ReadClaim(String request, String row) implements RoutingEffect {}

  /**
   * Write a claim row by compare-and-set.
   *
   * @param expectedVersion version that the row must have, 0 if it must not exist
   */
  record WriteClaim(String request, String row, long expectedVersion, Claim claim)
      implements RoutingEffect {}

  /** Write a decision to the decision log. */
  record Log(Decision decision) implements RoutingEffect {}
}
