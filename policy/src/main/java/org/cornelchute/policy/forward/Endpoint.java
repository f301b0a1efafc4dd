package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;

/** What an entry believes of one endpoint; owned by the {@link EndpointPool}. */
final class Endpoint {

  /** Span in which calls to a cold endpoint are counted: longer than its limit's second. */
  private static final long COLD_WINDOW_MILLIS = 1_150;

  /** Age of the last sight of an endpoint's load beyond which it says little. */
  private static final double SAMPLE_DECAY_MILLIS = 400;

  /** How much of its own load an entry takes each other entry to have put on an endpoint unseen. */
  private static final double ESTIMATED_LOAD_SHARE = 0.6;

  /** Age up to which another entry's word on its open calls is taken as it is. */
  private static final long REPORT_VALIDITY_MILLIS = 900;

  /** Age beyond which an entry that was heard of is taken not to run any more. */
  private static final long ENTRY_EXPIRY_MILLIS = 5_000;

  final SlidingWindowCounter recentDispatches = new SlidingWindowCounter(COLD_WINDOW_MILLIS);
  EndpointSpec spec;
  long version;
  int ownCalls;
  long coldUntil;
  long avoidUntil;
  long lastReceivedAt;
  int failureCount;

  /** When it is dropped as its entry lapsed, 0 while it is listed. */
  long removeAt;

  /** Version that its engine changes over to, and until when that is believed. */
  long switchTargetVersion;

  long switchExpiresAt;

  /** When its agent said that it had loaded the version it holds. */
  long loadReportedAt = Long.MIN_VALUE / 4;

  private final Map<String, EntryReport> told = new HashMap<>();
  private double otherCallsAtSample;
  private int ownCallsAtSample;
  private long sampledAt = Long.MIN_VALUE / 4;

  Endpoint(EndpointSpec spec) {
    this.spec = spec;
    this.version = spec.version();
  }

  /** Takes what the endpoint said of its load in an answer to a call of this entry. */
  void recordLoad(long now, int running, int waiting) {
    otherCallsAtSample = Math.max(0, running + waiting - ownCalls);
    ownCallsAtSample = ownCalls;
    sampledAt = now;
  }

  /** Takes what another entry says of its open calls there. */
  void told(long now, String entry, int calls) {
    told.put(entry, new EntryReport(calls, now, ownCalls));
  }

  /**
   * Estimates the calls that run or wait there.
   *
   * <p>What other entries said lately counts, moved by as much as the own load has moved since, as
   * they see the same and do the same: six entries that all find a new endpoint empty would
   * otherwise fill it six times over. For entries that say nothing, what the endpoint last told of
   * its load is moved likewise, and gives way to the own load times their number as that sight
   * ages.
   *
   * @param entries entries that send to it
   */
  double estimateLoad(long now, int entries) {
    int others = entries - 1;
    if (others <= 0) {
      return ownCalls;
    }
    double known = 0;
    int silent = others;
    boolean heard = false;
    for (EntryReport t : told.values()) {
      heard |= now - t.receivedAt < REPORT_VALIDITY_MILLIS;
    }
    for (EntryReport t : told.values()) {
      if (now - t.receivedAt < REPORT_VALIDITY_MILLIS) {
        known += Math.max(0, t.calls + ESTIMATED_LOAD_SHARE * (ownCalls - t.ownCallsAtReceipt));
        silent--;
      } else if (heard && now - t.receivedAt > ENTRY_EXPIRY_MILLIS) {
        silent--;
      }
    }
    double trust = Math.exp(-(now - sampledAt) / SAMPLE_DECAY_MILLIS);
    double seen = trust * Math.max(0, otherCallsAtSample + ownCalls - ownCallsAtSample);
    double unseen = (1 - trust) * ownCalls * ESTIMATED_LOAD_SHARE * others;
    double guess = (seen + unseen) * Math.max(0, silent) / others;
    return ownCalls + Math.max(known + guess, seen);
  }

  /** Returns whether its engine finishes what runs, to load other weights then. */
  boolean isSwitchingVersion(long now) {
    return version > 0 && version < switchTargetVersion && now < switchExpiresAt;
  }

  /** Returns the host part of its address. */
  String host() {
    return spec.address().substring(0, spec.address().lastIndexOf(':'));
  }

  boolean isCold(long now) {
    return now < coldUntil;
  }

  /** What another entry said of its open calls, when, and how many the own ones were then. */
  private record EntryReport(int calls, long receivedAt, int ownCallsAtReceipt) {}
}
