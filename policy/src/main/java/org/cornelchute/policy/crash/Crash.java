package org.cornelchute.policy.crash;

import java.util.List;
import java.util.Objects;
import org.cornelchute.core.model.CrashReport;

/**
 * A response that broke off after its endpoint had begun it, seen by this or another entry.
 *
 * <p>Several responses of one crash are told from those of several crashes by their times: all
 * responses that a crash breaks off were sent before any entry saw it, and a call that was sent
 * later was broken off by another crash. The incarnation alone cannot tell crashes apart, since the
 * directory lists an endpoint that started again some time later.
 *
 * @param endpoint hash code of the endpoint's incarnation, as listed
 * @param id number of the observation, the same at all entries
 * @param sentAt time at which the call was sent to the endpoint, {@link Long#MIN_VALUE} if unknown
 * @param at time at which the response broke off
 * @param parts ids of the shared parts of the call's prompt, in prompt order
 */
record Crash(int endpoint, int id, long sentAt, long at, List<Long> parts) {

  /** Delay of reports up to which crashes that other entries saw are told apart correctly. */
  private static final long MAX_REPORT_DELAY_MILLIS = 100;

  /** Maximum number of crashes of a stored part that are counted. */
  static final int MAX_STORED = 8;

  /** Time between two crashes of a stored part; long enough that each counts. */
  private static final long STORED_INTERVAL_MILLIS = 200;

  /**
   * Returns a crash that stands for one that the store counts; the same at all entries.
   *
   * @param number number of the crash, from 0 to less than {@value #MAX_STORED}, latest first
   * @param readAt time at which the part was read from the store
   */
  static Crash stored(long part, int number, long readAt) {
    long at = readAt - number * STORED_INTERVAL_MILLIS;
    int endpoint = Long.hashCode(part) + number;
    return new Crash(endpoint, storedId(part, number), at, at, List.of(part));
  }

  /** Returns a hash code as id of a crash, which must not be the one of an unnumbered report. */
  static int toId(int hash) {
    return hash == CrashReport.UNNUMBERED ? 1 : hash;
  }

  /** Returns whether the crash stands for one that the store counts. */
  boolean isStored() {
    if (parts.size() != 1) {
      return false;
    }
    long part = parts.get(0);
    int number = endpoint - Long.hashCode(part);
    return number >= 0 && number < MAX_STORED && id == storedId(part, number);
  }

  private static int storedId(long part, int number) {
    return toId(Objects.hash(part, number));
  }

  /** Returns whether the call was sent after an entry had seen the other crash of the endpoint. */
  boolean isAfter(Crash other) {
    return sentAt > other.at + MAX_REPORT_DELAY_MILLIS;
  }

  /** Returns whether both are observations of one crash in calls with the same parts. */
  boolean isSame(Crash other) {
    return endpoint == other.endpoint
        && !isAfter(other)
        && !other.isAfter(this)
        && parts.equals(other.parts);
  }

  /** Returns this observation, corrected by a repeated report of it or by another observation. */
  Crash narrow(Crash other) {
    if (id == other.id) {
      // Each report adds its delay to the times, so the earliest are the best.
      return other.at < at ? other : this;
    }
    long knownSentAt = sentAt == Long.MIN_VALUE ? other.sentAt : sentAt;
    return new Crash(endpoint, id, knownSentAt, Math.min(at, other.at), parts);
  }
}
