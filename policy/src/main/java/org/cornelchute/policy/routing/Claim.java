package org.cornelchute.policy.routing;

/**
 * Content of the claim row, which reserves an idempotency key before the request is sent.
 *
 * @param request identity of the request in messages to the agent
 * @param attempt number of the attempt
 * @param agent member id of the only agent that may run the attempt
 * @param address the agent's address
 * @param boot the agent's incarnation
 * @param claimant identity of the request that wrote the row
 * @param fingerprint digest of the request; a different digest under the same key is a caller error
 */
public record Claim(
    String request,
    int attempt,
    String agent,
    String address,
    long boot,
    String claimant,
    String fingerprint) {

  /** Returns whether all texts are present, which a row from elsewhere may lack. */
  public boolean hasAllTexts() {
    return request != null
        && agent != null
        && address != null
        && claimant != null
        && fingerprint != null;
  }
}
