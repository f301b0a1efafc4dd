package org.cornelchute.policy.weights;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cornelchute.core.log.Decision;

/**
 * Brings the one engine beside an agent to the version that operators named last.
 *
 * <p>An order is given only for weights of which every chunk was read back from the engine's store
 * and verified a moment ago, and only if the engine is as it was last seen.
 *
 * <p>An engine that changes over takes no calls until what it runs has ended, so the engines of a
 * region change over in two halves: one as soon as it has the weights, the other when calls may no
 * longer begin on the older version. A version that is superseded soon is loaded by its first half
 * only; the other half waits for the newer one. An engine that may serve no call loads at once.
 */
public final class LoadDecider {

  /** Time after which a staging without result is given up. */
  private static final long STAGING_TIMEOUT_MILLIS = 8_000;

  /** Part of the time within which versions are near that they are learnt of together. */
  private static final int ASSIGNED_TOGETHER_DIVISOR = 4;

  private final LoadOptions options;
  private final TreeMap<Long, Long> assignedAtByVersion = new TreeMap<>();
  private final TreeMap<Long, Long> completeAtByVersion = new TreeMap<>();
  private final Set<Long> dropped = new HashSet<>();
  private int rank;
  private Engine engine = Engine.UNREACHABLE;
  private Step step = Step.IDLE;
  private long stepVersion;
  private long stepEngineStartMillis;
  private long deferredVersion;
  private long lastStagingId;
  private long stagingStartedAt;
  private long retryAt;

  /** Creates a decider that knows neither engine nor version. */
  public LoadDecider(LoadOptions options) {
    this.options = options;
  }

  /** Returns the version that the engine is to be brought to, 0 if none is known. */
  public long targetVersion() {
    return assignedAtByVersion.isEmpty() ? 0 : assignedAtByVersion.lastKey();
  }

  /** Returns whether a version may still be of use: it is wanted, or the last before that. */
  public boolean isNeeded(long version) {
    if (dropped.contains(version)) {
      return false;
    }
    Long newer = assignedAtByVersion.higherKey(version);
    return newer == null || newer.equals(assignedAtByVersion.lastKey());
  }

  /** Returns what the engine said last. */
  public Engine engine() {
    return engine;
  }

  /**
   * Takes the version that operators named; one that is not newer is passed over.
   *
   * <p>Versions that are learnt of at about the same time, as after an outage of the store, are not
   * fetched one after the other: agents that learn of the last one only would be alone with it.
   */
  public List<LoadEffect> onVersionAssigned(long now, long version) {
    List<LoadEffect> effects = new ArrayList<>(1);
    if (version > targetVersion()) {
      for (Map.Entry<Long, Long> older : assignedAtByVersion.entrySet()) {
        if (now - older.getValue() <= options.supersedeWindowMillis() / ASSIGNED_TOGETHER_DIVISOR) {
          drop(older.getKey(), version, effects);
        }
      }
      assignedAtByVersion.put(version, now);
      deferredVersion = version;
      startDeferredFetch(now, effects);
    }
    return effects;
  }

  /** Takes this agent's place among those that change over by halves, from 0. */
  public void setRank(int number) {
    rank = number;
  }

  /** Handles a version of which every chunk is at hand and verified. */
  public List<LoadEffect> onVersionComplete(long now, long version) {
    completeAtByVersion.putIfAbsent(version, now);
    List<LoadEffect> effects = startStagingIfDue(now);
    startDeferredFetch(now, effects);
    return effects;
  }

  /** Takes what the engine says of itself. */
  public List<LoadEffect> onEngineReport(long now, Engine seen) {
    boolean restarted = seen.startMillis() != engine.startMillis();
    engine = seen;
    boolean stuck = step == Step.STAGING && now - stagingStartedAt >= STAGING_TIMEOUT_MILLIS;
    if ((restarted || stuck) && step != Step.IDLE) {
      step = Step.IDLE;
    }
    List<LoadEffect> effects = new ArrayList<>(2);
    if (step == Step.LOADING && !seen.busy()) {
      step = Step.IDLE;
      boolean loaded = seen.version() == stepVersion;
      retryAt = loaded ? 0 : now + options.retryDelayMillis();
      if (loaded) {
        effects.add(new LoadEffect.AnnounceLoaded(stepVersion));
      }
    }
    effects.addAll(startStagingIfDue(now));
    startDeferredFetch(now, effects);
    return effects;
  }

  /** Handles the result of the staging with this number; that of an earlier one is passed over. */
  public List<LoadEffect> onStagingResult(long now, long number, boolean verified) {
    List<LoadEffect> effects = new ArrayList<>(2);
    if (step != Step.STAGING || number != lastStagingId) {
      return effects;
    }
    step = Step.IDLE;
    boolean same = engine.reachable() && engine.startMillis() == stepEngineStartMillis;
    if (!verified || !same) {
      retryAt = now + options.retryDelayMillis();
      return effects;
    }
    step = Step.LOAD_REQUESTED;
    effects.add(new LoadEffect.StartLoad(stepVersion, engine.sequence()));
    log(effects, "order", "sequence=" + engine.sequence() + " loaded=" + engine.version());
    return effects;
  }

  /** Handles the answer to an order, or its loss: what became of it shows in the next report. */
  public List<LoadEffect> onLoadResponse(long now, boolean accepted) {
    if (step == Step.LOAD_REQUESTED) {
      step = accepted ? Step.LOADING : Step.IDLE;
      retryAt = now + options.retryDelayMillis();
    }
    return List.of();
  }

  /**
   * Starts to fetch the newest version once the one before is whole.
   *
   * <p>Two versions that share a thin link both come late; one after the other, each is in time. A
   * version that does not become whole holds the next one up for a short time only.
   */
  private void startDeferredFetch(long now, List<LoadEffect> effects) {
    dropLateVersions(now, effects);
    if (deferredVersion == 0) {
      return;
    }
    Long before = assignedAtByVersion.lowerKey(deferredVersion);
    boolean busy =
        before != null && !completeAtByVersion.containsKey(before) && !dropped.contains(before);
    if (!busy || now - assignedAt(deferredVersion) >= options.maxFetchDelayMillis()) {
      effects.add(new LoadEffect.Fetch(deferredVersion));
      deferredVersion = 0;
    }
  }

  /**
   * Gives up versions that can't be whole before calls must begin on a newer one.
   *
   * <p>They would take the links that the newer one needs, as after an outage of the origin.
   */
  private void dropLateVersions(long now, List<LoadEffect> effects) {
    long newest = targetVersion();
    if (newest == 0
        || now
            < assignedAt(newest) + options.cutoverMillis() - options.supersedeWindowMillis() / 2) {
      return;
    }
    for (long version : assignedAtByVersion.headMap(newest).keySet()) {
      drop(version, newest, effects);
    }
  }

  private void drop(long version, long newest, List<LoadEffect> effects) {
    if (!completeAtByVersion.containsKey(version) && dropped.add(version)) {
      effects.add(new LoadEffect.Drop(version));
      log(effects, "drop", "version=" + version + " newest=" + newest);
    }
  }

  private List<LoadEffect> startStagingIfDue(long now) {
    List<LoadEffect> effects = new ArrayList<>(2);
    if (step != Step.IDLE
        || !engine.reachable()
        || engine.busy()
        || completeAtByVersion.isEmpty()) {
      return effects;
    }
    long version = completeAtByVersion.lastKey();
    if (engine.version() >= version || now < retryAt || now < earliestStagingTime(version)) {
      return effects;
    }
    step = Step.STAGING;
    stepVersion = version;
    stepEngineStartMillis = engine.startMillis();
    if (engine.version() > 0) {
      effects.add(new LoadEffect.AnnounceSwitch(version));
    }
    lastStagingId++;
    stagingStartedAt = now;
    effects.add(new LoadEffect.Stage(version, lastStagingId));
    log(effects, "stage", "loaded=" + engine.version() + " ageMs=" + (now - assignedAt(version)));
    return effects;
  }

  /** Returns when this engine's turn to load a version that is at hand comes. */
  private long earliestStagingTime(long version) {
    long whole = completeAtByVersion.get(version);
    boolean waits =
        version < targetVersion()
            && assignedAt(targetVersion()) - assignedAt(version) <= options.supersedeWindowMillis();
    if (waits && !isFirstHalf(version)) {
      return Math.max(
          whole, assignedAt(version) + options.cutoverMillis() + options.supersedeGraceMillis());
    }
    if (engine.version() == 0 || isFirstHalf(version)) {
      return whole;
    }
    long latest = Long.MAX_VALUE;
    for (Map.Entry<Long, Long> e :
        assignedAtByVersion.tailMap(engine.version(), false).entrySet()) {
      latest = Math.min(latest, e.getValue() + options.cutoverMillis());
    }
    return Math.max(whole, latest);
  }

  /** Returns whether this engine is among the first to load a version; the halves take turns. */
  private boolean isFirstHalf(long version) {
    return (rank + version) % 2 == 0;
  }

  private long assignedAt(long version) {
    return assignedAtByVersion.getOrDefault(version, 0L);
  }

  private void log(List<LoadEffect> effects, String kind, String reason) {
    String subject = "version " + stepVersion;
    effects.add(
        new LoadEffect.Log(new Decision(kind, subject, "", List.of(), "engine", reason, 0)));
  }

  private enum Step {
    IDLE,
    STAGING,
    LOAD_REQUESTED,
    LOADING
  }

  /**
   * What an engine says of itself.
   *
   * @param reachable whether it answered
   * @param startMillis start of its incarnation in milliseconds since the epoch
   * @param version version that it has loaded, 0 if none
   * @param busy whether an order is in progress
   * @param sequence orders that it has accepted
   */
  public record Engine(
      boolean reachable, long startMillis, long version, boolean busy, long sequence) {

    /** An engine that does not answer. */
    public static final Engine UNREACHABLE = new Engine(false, 0, 0, false, 0);
  }

  /**
   * Limits of the change-over; immutable.
   *
   * @param cutoverMillis time from the naming of a version until calls must begin on it; the second
   *     half of the engines changes over then
   * @param supersedeWindowMillis time within which a newer version must be named for the second
   *     half to wait for it
   * @param supersedeGraceMillis longest time after {@code latestMillis} that it waits
   * @param retryDelayMillis time before a step that failed is tried again
   * @param maxFetchDelayMillis longest time that a version waits until the one before is whole
   */
  public record LoadOptions(
      long cutoverMillis,
      long supersedeWindowMillis,
      long supersedeGraceMillis,
      long retryDelayMillis,
      long maxFetchDelayMillis) {}
}
