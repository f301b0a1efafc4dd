package org.cornelchute.policy.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.cornelchute.policy.crash.CrashEvidence;
import org.cornelchute.policy.crash.CrashEvidence.PartChange;

/**
 * Decides whether endpoints ended while they worked on attempts, in whatever way that shows.
 *
 * <p>A success response that breaks off is evidence at once. An attempt without one that ends, or
 * that is silent, has other possible causes: a reset connection, a cut link, an endpoint that falls
 * silent and goes on. It is kept until its endpoint sends something again, which refutes the crash,
 * or until the directory, a connection that cannot be opened or a crash that any entry reports
 * confirms that the endpoint ended. What the attempt had received does not matter.
 */
final class CrashDetector {

  /** Time without data from an endpoint that a sound one may take. */
  static final long MAX_SILENCE_MILLIS = 900;

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

  /** Time between two checks from which on this process was stalled itself. */
  private static final long MIN_STALL_MILLIS = 400;

  /** Time from the start of a response from which on its end is not taken for a crash. */
  private static final long MIN_SERVICE_MILLIS = 1_000;

  /** Maximum age of an attempt as far as it is reported. */
  private static final long MAX_OPEN_MILLIS = 10_000;

  private static final int MAX_ENDED_ATTEMPTS = 512;

  private final CrashEvidence evidence;
  private final CallLog callLog;
  private final Deque<EndedAttempt> ended = new ArrayDeque<>();

  /** Time at which any endpoint last sent something. */
  private long heardAt;

  private long checkedAt;

  /** End of the latest stall of this process. */
  private long stalledUntil;

  CrashDetector(CrashEvidence evidence, CallLog callLog) {
    this.evidence = evidence;
    this.callLog = callLog;
  }

  /** Returns whether attempts wait for a sign of what became of their endpoints. */
  boolean isPending() {
    return !ended.isEmpty();
  }

  /** Records that an attempt is dispatched. */
  void recordDispatch(long now, Call call, Attempt attempt) {
    evidence.recordDispatch(now, call.spec.sharedParts());
    attempt.endpoint.vitality.recordDispatch(now);
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

  /**
   * Records the end of a complete response, which proves that the endpoint survived it. One that
   * ends on the close of its connection may have been ended by a crash shortly after its start.
   */
  void recordServed(long now, List<CallEffect> effects, Call call, Attempt attempt) {
    if (attempt.hasBegun()
        && (!attempt.endsOnClose || now - attempt.begunAt >= MIN_SERVICE_MILLIS)) {
      evidence.recordServed(attempt.begunAt, call.spec.sharedParts());
      reportChanges(now, effects);
    }
  }

  /** Logs parts of prompts that became blocked or were cleared, and stores those of this entry. */
  void reportChanges(long now, List<CallEffect> effects) {
    for (PartChange change : evidence.takeChanges(now)) {
      if (change.own()) {
        effects.add(
            new CallEffect.StoreBlockedPart(
                change.part(), change.blocked() ? change.crashCount() : 0));
      }
      effects.add(callLog.partChange(change));
    }
  }

  /**
   * Records that an attempt ended which may have reached its endpoint.
   *
   * @param canceled whether this entry ended it, rather than its connection
   */
  void recordEnd(long now, Call call, Attempt attempt, boolean canceled) {
    boolean respondsNow = canceled && attempt.lastProgressAt == now;
    if (attempt.crashRecorded || respondsNow || call.spec.sharedParts().isEmpty()) {
      return;
    }
    if (attempt.hasBegun() && !canceled) {
      record(now, call, attempt, attempt.dispatchedAt, now);
      return;
    }
    if (ended.size() >= MAX_ENDED_ATTEMPTS) {
      ended.removeFirst();
    }
    ended.addLast(new EndedAttempt(call, attempt, now, canceled));
  }

  /** Records the crashes that are confirmed by now, also those of attempts that are still open. */
  void check(long now, List<CallEffect> effects, Iterable<Call> openCalls) {
    if (now - checkedAt >= MIN_STALL_MILLIS) {
      stalledUntil = now;
    }
    checkedAt = now;
    for (Call call : openCalls) {
      checkSilent(now, effects, call, call.current);
      checkSilent(now, effects, call, call.backup);
    }
    ended.removeIf(e -> isRefuted(now, e) || checkEnded(now, effects, e));
  }

  /** Checks an ended attempt and returns whether it needs no further checks. */
  private boolean checkEnded(long now, List<CallEffect> effects, EndedAttempt candidate) {
    Attempt attempt = candidate.attempt;
    if (candidate.canceled) {
      checkSilent(now, effects, candidate.call, attempt);
    } else if (now - candidate.endedAt >= JUDGEMENT_DELAY_MILLIS && hasEnded(attempt)) {
      record(now, candidate.call, attempt, attempt.dispatchedAt, candidate.endedAt);
      effects.add(callLog.crashed(candidate.call, attempt, "closed without a response"));
    }
    return attempt.crashRecorded;
  }

  private void checkSilent(long now, List<CallEffect> effects, Call call, Attempt attempt) {
    if (attempt != null
        && !attempt.crashRecorded
        && !call.spec.sharedParts().isEmpty()
        && isSilent(now, attempt)
        && hasEnded(attempt)) {
      recordSilent(now, effects, call, attempt);
    }
  }

  private static boolean isRefuted(long now, EndedAttempt candidate) {
    long delay = candidate.canceled ? 0 : READ_DELAY_MILLIS;
    return candidate.attempt.endpoint.vitality.heardAt() > candidate.endedAt + delay
        || now - candidate.endedAt > RETENTION_MILLIS;
  }

  private boolean isSilent(long now, Attempt attempt) {
    long since = Math.max(attempt.lastProgressAt, attempt.endpoint.vitality.heardAt());
    return now - Math.max(since, stalledUntil) >= MAX_SILENCE_MILLIS;
  }

  private boolean hasEnded(Attempt attempt) {
    Endpoint endpoint = attempt.endpoint;
    return !endpoint.spec.draining()
        && (endpoint.vitality.showsEndSince(attempt.dispatchedAt)
            || evidence.hasCrashedSince(endpoint.incarnation(), attempt.dispatchedAt));
  }

  /**
   * Records the crash of a silent endpoint. Only bounds of its time are known; with them, all that
   * is observed of one crash is taken for one, whichever entry observes it.
   *
   * <p>The second attempt of a call may go to an endpoint that had ended before, where its prompt
   * cannot have mattered, so that only the first of its silent attempts counts.
   */
  private void recordSilent(long now, List<CallEffect> effects, Call call, Attempt attempt) {
    if (call.silentCrashRecorded) {
      attempt.crashRecorded = true;
      return;
    }
    call.silentCrashRecorded = true;
    Vitality vitality = attempt.endpoint.vitality;
    long latestEnd = Math.min(now, vitality.silentSince() + MAX_SILENCE_MILLIS);
    long sentAt = Math.min(attempt.dispatchedAt, vitality.heardAt());
    record(now, call, attempt, Math.max(sentAt, latestEnd - MAX_OPEN_MILLIS), latestEnd);
    effects.add(
        callLog.crashed(call, attempt, "silent for " + (now - vitality.silentSince()) + " ms"));
  }

  private void record(long now, Call call, Attempt attempt, long sentAt, long endedAt) {
    attempt.crashRecorded = true;
    evidence.recordCrash(
        now, attempt.endpoint.incarnation(), sentAt, endedAt, call.spec.sharedParts());
  }

  /**
   * An attempt that ended without a complete response.
   *
   * @param canceled whether this entry ended it, rather than its connection
   */
  private record EndedAttempt(Call call, Attempt attempt, long endedAt, boolean canceled) {}
}
