package org.cornelchute.policy.routing;

/**
 * A caller's request as the entry admitted it.
 *
 * @param id identity, unique over all entries
 * @param workspace payer
 * @param target what it is for
 * @param repeatable whether a second run would do no harm
 * @param stream whether the answer is a stream of events
 * @param priority order inside the workspace, higher first
 * @param cost estimated cost in tokens
 * @param expectedOutputTokens how much of that is expected to be generated
 * @param prefixHash hash of the beginning of the prompt, 0 if there is none
 * @param deadline time by which the caller wants the answer, in milliseconds
 * @param claimRow row in the table service that keeps the idempotency key, or empty
 * @param fingerprint digest of method, path and body, compared under one idempotency key
 * @param method HTTP method
 * @param path HTTP path at the endpoint
 * @param contentType type of the body, or empty
 * @param body the body, never null
 */
public record RequestSpec(
    String id,
    String workspace,
    Target target,
    boolean repeatable,
    boolean stream,
    int priority,
    int cost,
    int expectedOutputTokens,
    long prefixHash,
    long deadline,
    String claimRow,
    String fingerprint,
    String method,
    String path,
    String contentType,
    byte[] body) {}
