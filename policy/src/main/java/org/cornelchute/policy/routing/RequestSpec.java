package org.cornelchute.policy.routing;

/**
 * A caller's request as read by the entry.
 *
 * @param id identity of the request, unique across all entries
 * @param workspace workspace that the request is charged to
 * @param target model or service that the request is for
 * @param repeatable whether the request may safely run more than once
 * @param stream whether the response is an event stream
 * @param priority priority inside the workspace, higher first
 * @param cost estimated total cost in tokens
 * @param expectedOutputTokens part of the cost that is expected to be generated output
 * @param prefixHash hash of the beginning of the prompt, 0 if there is no prompt
 * @param deadline deadline of the request in milliseconds, on the clock of the decider
 * @param claimRow key of the claim row in the table service, empty without an idempotency key
 * @param fingerprint digest of method, path and body, which detects reuse of an idempotency key for
 *     a different request; empty without a claim row
 * @param method HTTP method
 * @param path HTTP path at the endpoint
 * @param contentType content type of the body, or empty
 * @param body request body, never null
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
