package org.cornelchute.policy.forward;

/**
 * One call as it arrived.
 *
 * @param number identity inside this process
 * @param id identity that the caller gave it
 * @param host host that it names, lower case
 * @param path path without query
 * @param key key that it carries, empty if none
 * @param deadlineMillis time that the caller waits, from its arrival
 * @param promptTokens tokens to read, 0 if not told
 * @param maxOutputTokens most tokens to generate, 0 if not told
 * @param expectedOutputTokens the caller's estimate of the tokens to generate, 0 if not told
 * @param lastEventId last event that the caller has already, negative if it begins afresh
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
    long lastEventId) {}
