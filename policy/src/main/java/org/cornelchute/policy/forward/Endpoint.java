package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;
import org.cornelchute.policy.load.PrefixCache;
import org.cornelchute.policy.load.SpeedEstimate;

/** State of one endpoint as known to this entry; owned by the {@link EndpointPool}. */
final class Endpoint {

  /** Time constant with which the weight of a load sample decays exponentially. */
  private static final double SAMPLE_DECAY_MILLIS = 400;

  /**
   * Load assumed for each entry of which no recent data is available, as a fraction of the load of
   * this entry.
   */
  private static final double ESTIMATED_LOAD_SHARE = 0.6;

  /** Age up to which a report of another entry is used. */
  private static final long REPORT_VALIDITY_MILLIS = 900;

  /** Age of the last report of an entry above which the entry is considered stopped. */
  private static final long ENTRY_EXPIRY_MILLIS = 5_000;

  final SlidingWindowCounter recentDispatches =
      new SlidingWindowCounter(EndpointLimits.MAX_WINDOW_MILLIS);

  /** Load per slot that is added when endpoints are compared; fixed for this entry. */
  final double preferencePenalty;

  EndpointSpec spec;

  /** Version of the weights that the endpoint holds as far as known, 0 if none. */
  long version;

  /** Version that this incarnation has reported to hold, at most {@link #version}. */
  private long reportedVersion;

  /** Open calls of this entry to the endpoint. */
  int ownCalls;

  long coldUntil;

  /** End of the backoff after a failure. */
  long avoidUntil;

  long lastReceivedAt;

  /** Whether an attempt went unanswered for long and nothing was received since. */
  boolean stalled;

  /** Signs of life and of the end of this incarnation. */
  final Vitality vitality = new Vitality();

  /** Speed that the endpoint states in its responses; never null. */
  final SpeedEstimate speed;

  /** Prompt prefixes that its engine probably holds, null if it is not known to cache any. */
  PrefixCache prefixCache;

  /** Limit that the endpoint named in its last response to this entry. */
  NamedLimit namedLimit = NamedLimit.NONE;

  /** Consecutive failures, up to a maximum. */
  int failureCount;

  /** Time at which an endpoint that is no longer listed is or was removed, 0 while it is listed. */
  long removeAt;

  /** Whether it is no longer listed, together with many others, though no outage is known. */
  boolean missingWithMany;

  /** Version that the engine is about to load; ignored from {@link #switchExpiresAt} on. */
  long switchTargetVersion;

  long switchExpiresAt;

  /** Time at which the agent last reported that its engine had loaded the target version. */
  long loadReportedAt = Long.MIN_VALUE / 4;

  private final Map<String, EntryReport> reportByEntry = new HashMap<>();
  private double otherCallsAtSample;
  private int ownCallsAtSample;
  private long sampledAt = Long.MIN_VALUE / 4;

  /**
   * Creates the state of an incarnation without calls.
   *
   * @param preferencePenalty load per slot that is added when endpoints are compared
   */
  Endpoint(EndpointSpec spec, SpeedEstimate speed, double preferencePenalty) {
    this.spec = spec;
    this.speed = speed;
    this.preferencePenalty = preferencePenalty;
    this.version = spec.version();
  }

  /**
   * Records the version that the endpoint holds as far as known.
   *
   * @param reported whether a source that distinguishes incarnations reports it of this one. None
   *     does if the start of the incarnation is not known.
   */
  void recordVersion(long newVersion, boolean reported) {
    version = newVersion;
    reportedVersion =
        reported && spec.startedAtMillis() > 0 ? newVersion : Math.min(reportedVersion, newVersion);
  }

  long reportedVersion() {
    return reportedVersion;
  }

  /** Records the load that the endpoint reports in a response to a call of this entry. */
  void recordLoad(long now, int running, int queued) {
    otherCallsAtSample = Math.max(0, running + queued - ownCalls);
    ownCallsAtSample = ownCalls;
    sampledAt = now;
  }

  /** Records the number of open calls to the endpoint that another entry reports. */
  void recordEntryReport(long now, String entry, int calls) {
    reportByEntry.put(entry, new EntryReport(calls, now, ownCalls));
  }

  /**
   * Estimates the number of calls that run or are queued at the endpoint.
   *
   * <p>A recent report of another entry is corrected by a fraction of the change in this entry's
   * calls since then, because the entries see the same load and react alike. Without the
   * correction, six entries that all see a new endpoint as idle would each fill it. The load of
   * entries without a recent report is taken from the last sample of the endpoint's load, corrected
   * in the same way. As the sample ages, it is replaced by a fraction of this entry's calls for
   * each of those entries.
   *
   * @param entryCount number of entries that send calls to the endpoint, including this one
   */
  double estimateLoad(long now, int entryCount) {
    int others = entryCount - 1;
    if (others <= 0) {
      return ownCalls;
    }
    double reported = 0;
    int unreported = others;
    boolean receivesReports = false;
    for (EntryReport report : reportByEntry.values()) {
      receivesReports |= now - report.receivedAt < REPORT_VALIDITY_MILLIS;
    }
    for (EntryReport report : reportByEntry.values()) {
      if (now - report.receivedAt < REPORT_VALIDITY_MILLIS) {
        reported +=
            Math.max(
                0, report.calls + ESTIMATED_LOAD_SHARE * (ownCalls - report.ownCallsAtReceipt));
        unreported--;
      } else if (receivesReports && now - report.receivedAt > ENTRY_EXPIRY_MILLIS) {
        unreported--;
      }
    }
    double sampleWeight = Math.exp(-(now - sampledAt) / SAMPLE_DECAY_MILLIS);
    double sampled = sampleWeight * Math.max(0, otherCallsAtSample + ownCalls - ownCallsAtSample);
    double assumed = (1 - sampleWeight) * ownCalls * ESTIMATED_LOAD_SHARE * others;
    double estimated = (sampled + assumed) * Math.max(0, unreported) / others;
    return ownCalls + Math.max(reported + estimated, sampled);
  }

  /**
   * Returns whether the engine is about to load other weights. Until then it completes running
   * calls and should receive no new ones.
   */
  boolean isSwitchingVersion(long now) {
    return version > 0 && version < switchTargetVersion && now < switchExpiresAt;
  }

  /** Returns a hash code of the endpoint's current incarnation, the same at all entries. */
  int incarnation() {
    return incarnationOf(spec);
  }

  /** Returns a hash code of a listed incarnation, the same at all entries. */
  static int incarnationOf(EndpointSpec spec) {
    return 31 * spec.id().hashCode() + Long.hashCode(spec.startedAtMillis());
  }

  /** Returns the host part of the address. */
  String host() {
    return spec.address().substring(0, spec.address().lastIndexOf(':'));
  }

  boolean isCold(long now) {
    return now < coldUntil;
  }

  /**
   * Report of another entry.
   *
   * @param calls open calls of that entry to the endpoint
   * @param receivedAt time at which the report was received
   * @param ownCallsAtReceipt open calls of this entry at that time
   */
  private record EntryReport(int calls, long receivedAt, int ownCallsAtReceipt) {}
}
