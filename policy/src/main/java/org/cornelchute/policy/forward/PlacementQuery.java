package org.cornelchute.policy.forward;

import java.util.List;

/**
 * A call that an operator asks about and that is not sent.
 *
 * @param host requested host in lower case
 * @param path path without query
 * @param workspace name of the workspace whose key the call would carry, empty for a call without
 *     key
 * @param deadlineMillis time from arrival that the caller would wait for the response
 * @param promptTokens number of prompt tokens, 0 if not specified
 * @param maxOutputTokens maximum number of tokens to generate, 0 if not specified
 * @param sharedParts ids of the parts of the prompt that other calls may share, in prompt order,
 *     never null
 * @param sharedTokens tokens of each of these parts, empty if not specified; never null
 */
public record PlacementQuery(
    String host,
    String path,
    String workspace,
    long deadlineMillis,
    long promptTokens,
    long maxOutputTokens,
    List<Long> sharedParts,
    List<Integer> sharedTokens) {

  /** Creates a query without the tokens of the shared parts. */
  public PlacementQuery(
      String host,
      String path,
      String workspace,
      long deadlineMillis,
      long promptTokens,
      long maxOutputTokens,
      List<Long> sharedParts) {
    this(
        host,
        path,
        workspace,
        deadlineMillis,
        promptTokens,
        maxOutputTokens,
        sharedParts,
        List.of());
  }

  /** Returns the call, which has no number and no key. */
  CallSpec toCallSpec() {
    return new CallSpec(
        0,
        "",
        host,
        path,
        "",
        deadlineMillis,
        promptTokens,
        maxOutputTokens,
        0,
        -1,
        sharedParts,
        sharedTokens);
  }
}
