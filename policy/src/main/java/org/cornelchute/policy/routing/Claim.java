package org.cornelchute.policy.routing;

/**
 * The row that an idempotency key claims before the request is sent.
 *
 * @param request identity under which the request goes to the agent
 * @param attempt number of the attempt
 * @param agent member id of the one agent that may run it
 * @param address the agent's address
 * @param boot the agent's incarnation
 * @param claimant identity of the caller's request that wrote the row
 * @param fingerprint digest of the request; another one under the same key is a caller's mistake
 */
public record Claim(
    String request,
    int attempt,
    String agent,
    String address,
    long boot,
    String claimant,
    String fingerprint) {}
