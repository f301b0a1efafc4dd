package org.cornelchute.policy.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.cornelchute.policy.crash.CrashEvidence;

/**
 * Decides whether endpoints ended while they worked on attempts, in whatever way that shows.
 *
 * <p>A success response that breaks off is evidence at once. An attempt without one that ends has
 * other possible causes, as a reset connection. It is kept until its endpoint sends something
 * again, which refutes the crash, or until the directory, a connection that cannot be opened or a
 * crash that any entry reports confirms that the endpoint ended. What the attempt had received does
 * not matter.
 */
final class CrashDetector {

  /** Time for which an ended attempt waits for a sign of what became of its endpoint. */
  private static final long RETENTION_MILLIS = 5_000;

  /** Time after the end of an attempt in which data may be read that arrived before it. */
  private static final long READ_DELAY_MILLIS = 100;

  /** Time from the end of an attempt until an endpoint that lives has probably sent something. */
  private static final long JUDGEMENT_DELAY_MILLIS = 200;

  /**
   * Age of the last data from any endpoint up to which a connection that cannot be opened speaks
   * against its endpoint, rather than against the links of this entry. Less than the time that
   * opening a connection may take.
   */
  private static final long MAX_LINK_SILENCE_MILLIS = 200;

  private static final int MAX_ENDED_ATTEMPTS = 512;

  private final CrashEvidence evidence;
  private final CallLog callLog;
  private final Deque<EndedAttempt> ended = new ArrayDeque<>();

  /** Time at which any endpoint last sent something. */
  private long heardAt;

  CrashDetector(CrashEvidence evidence, CallLog callLog) {
    this.evidence = evidence;
    this.callLog = callLog;
  }

  /** Returns whether attempts wait for a sign of what became of their endpoints. */
  boolean isPending() {
    return !ended.isEmpty();
  }

  /** Records that the listed incarnation of an endpoint sent something. */
  void recordHeard(long now, Endpoint endpoint) {
    heardAt = now;
    endpoint.vitality.recordHeard(now);
  }

  /** Records that no connection to an endpoint could be opened. */
  void recordUnreachable(long now, Endpoint endpoint) {
    if (now - heardAt < MAX_LINK_SILENCE_MILLIS) {
      endpoint.vitality.recordUnreachable(now);
    }
  }

  /** Records that an attempt ended which may have reached its endpoint. */
  void recordEnd(long now, Call call, Attempt attempt) {
    if (call.spec.sharedParts().isEmpty()) {
      return;
    }
    if (attempt.hasBegun()) {
      record(now, call, attempt, attempt.dispatchedAt, now);
      return;
    }
    if (ended.size() >= MAX_ENDED_ATTEMPTS) {
      ended.removeFirst();
    }
    ended.addLast(new EndedAttempt(call, attempt, now));
  }

  /** Records the crashes that are confirmed by now. */
  void check(long now, List<CallEffect> effects) {
    ended.removeIf(e -> isRefuted(now, e) || checkEnded(now, effects, e));
  }

  /** Checks an ended attempt and returns whether it needs no further checks. */
  private boolean checkEnded(long now, List<CallEffect> effects, EndedAttempt candidate) {
    Attempt attempt = candidate.attempt;
    if (now - candidate.endedAt < JUDGEMENT_DELAY_MILLIS || !hasEnded(attempt)) {
      return false;
    }
    record(now, candidate.call, attempt, attempt.dispatchedAt, candidate.endedAt);
    effects.add(callLog.crashed(candidate.call, attempt, "closed without a response"));
    return true;
  }

  private static boolean isRefuted(long now, EndedAttempt candidate) {
    long heardAt = candidate.attempt.endpoint.vitality.heardAt();
    return heardAt > candidate.endedAt + READ_DELAY_MILLIS
        || now - candidate.endedAt > RETENTION_MILLIS;
  }

  private boolean hasEnded(Attempt attempt) {
    Endpoint endpoint = attempt.endpoint;
    return !endpoint.spec.draining()
        && (endpoint.vitality.showsEndSince(attempt.dispatchedAt)
            || evidence.hasCrashedSince(endpoint.incarnation(), attempt.dispatchedAt));
  }

  private void record(long now, Call call, Attempt attempt, long sentAt, long endedAt) {
    evidence.recordCrash(
        now, attempt.endpoint.incarnation(), sentAt, endedAt, call.spec.sharedParts());
  }

  /** An attempt that ended without a complete response. */
  private record EndedAttempt(Call call, Attempt attempt, long endedAt) {}
}
