package org.cornelchute.policy.forward;

import java.util.List;

/**
 * One call as received from its caller.
 *
 * @param number identifier within this process
 * @param id request id from the caller
 * @param host requested host in lower case
 * @param path path without query
 * @param key API key, empty if none
 * @param deadlineMillis time from arrival that the caller waits for the response
 * @param promptTokens number of prompt tokens, 0 if not specified
 * @param maxOutputTokens maximum number of tokens to generate, 0 if not specified
 * @param expectedOutputTokens the caller's estimate of the tokens to generate, 0 if not specified
 * @param lastEventId id of the last event that the caller has already received, negative to start
 *     the stream from its beginning
 * @param sharedParts ids of the parts of the prompt that other calls may share, in prompt order;
 *     without the last part, which belongs to the call or its session. Never null.
 * @param sharedTokens tokens of each of these parts, empty if not specified. Never null.
 */
public record CallSpec(
    long number,
    String id,
    String host,
    String path,
    String key,
    long deadlineMillis,
    long promptTokens,
    long maxOutputTokens,
    long expectedOutputTokens,
    long lastEventId,
    List<Long> sharedParts,
    List<Integer> sharedTokens) {

  /** Creates a call that does not specify the tokens of the shared parts. */
  public CallSpec(
      long number,
      String id,
      String host,
      String path,
      String key,
      long deadlineMillis,
      long promptTokens,
      long maxOutputTokens,
      long expectedOutputTokens,
      long lastEventId,
      List<Long> sharedParts) {
    this(
        number,
        id,
        host,
        path,
        key,
        deadlineMillis,
        promptTokens,
        maxOutputTokens,
        expectedOutputTokens,
        lastEventId,
        sharedParts,
        List.of());
  }
}
