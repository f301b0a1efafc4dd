package org.cornelchute.policy.weights;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cornelchute.core.log.Decision;

/**
 * Decides when the engine next to an agent loads the version that operators assigned last.
 *
 * <p>A load is started only after every chunk has been staged: written to the engine's store, read
 * back and verified. It is not started if the engine has restarted in the meantime.
 *
 * <p>An engine that switches versions accepts no calls until its running calls have ended. The
 * engines of a region therefore switch in two halves: the first half as soon as the agent holds the
 * complete version, the second half at the cutover, when calls may no longer start on the older
 * version, or up to {@link SwitchTimes#MAX_UNREAD_MILLIS} earlier if the first half should be back
 * by then. A version that is superseded soon is loaded by the first half only; the second half
 * waits for the newer version. Apart from that wait, an engine that may not serve any call loads at
 * once.
 */
public final class LoadDecider {

  /** Time after which a staging without a result is abandoned. */
  private static final long STAGING_TIMEOUT_MILLIS = 8_000;

  /** Time after which an engine that holds a complete version has usually switched to it. */
  private static final long SWITCH_MILLIS = 1_500;

  /**
   * Versions assigned within the supersede window divided by this number count as assigned
   * together.
   */
  private static final int ASSIGNED_TOGETHER_DIVISOR = 4;

  private final LoadOptions options;

  /** Time at which the assignment was first seen by any process, by version. */
  private final TreeMap<Long, Long> assignedAtByVersion = new TreeMap<>();

  /** Time at which this agent learned of the assignment, by version. */
  private final TreeMap<Long, Long> learnedAtByVersion = new TreeMap<>();

  /** Time at which every chunk was held and verified, by version. */
  private final TreeMap<Long, Long> completeAtByVersion = new TreeMap<>();

  private final Set<Long> dropped = new HashSet<>();
  private int rank;
  private Engine engine = Engine.UNREACHABLE;
  private Step step = Step.IDLE;

  /** Version that is being staged or loaded. */
  private long stepVersion;

  /** Engine incarnation for which the staging was started. */
  private long stepEngineStartMillis;

  /** Version whose fetch has not started yet, 0 if none. */
  private long deferredVersion;

  private long lastStagingId;
  private long stagingStartedAt;
  private long retryAt;

  /** Creates a decider without an engine report or an assigned version. */
  public LoadDecider(LoadOptions options) {
    this.options = options;
  }

  /** Returns the newest version assigned by operators, 0 if none. */
  public long targetVersion() {
    return assignedAtByVersion.isEmpty() ? 0 : assignedAtByVersion.lastKey();
  }

  /**
   * Returns whether a version may still have to be loaded: it was not dropped and at most one newer
   * version has been assigned.
   */
  public boolean isNeeded(long version) {
    if (dropped.contains(version)) {
      return false;
    }
    Long newer = assignedAtByVersion.higherKey(version);
    return newer == null || newer.equals(assignedAtByVersion.lastKey());
  }

  /** Returns the last reported state of the engine, not reachable if the last report failed. */
  public Engine engine() {
    return engine;
  }

  /**
   * Handles the assignment of a version by operators; ignores it unless it is newer than the target
   * version, or known and older than it seemed.
   *
   * <p>Of versions learned of at about the same time, for example after an outage of the store,
   * only the newest is fetched. Otherwise, agents that learn only of the newest one would have no
   * peers to fetch it from while the others fetch the older version first.
   *
   * @param ageMillis time since the version was first seen by any process. An agent that learns of
   *     it late must not count the cutover from then, because no calls are sent to the engine after
   *     the cutover of the others.
   */
  public List<LoadEffect> onVersionAssigned(long now, long version, long ageMillis) {
    List<LoadEffect> effects = new ArrayList<>(1);
    if (version > targetVersion()) {
      for (Map.Entry<Long, Long> older : learnedAtByVersion.entrySet()) {
        if (now - older.getValue() <= options.supersedeWindowMillis() / ASSIGNED_TOGETHER_DIVISOR) {
          drop(older.getKey(), version, effects);
        }
      }
      assignedAtByVersion.put(version, now - ageMillis);
      learnedAtByVersion.put(version, now);
      deferredVersion = version;
      startDeferredFetch(now, effects);
    } else {
      assignedAtByVersion.computeIfPresent(version, (v, at) -> Math.min(at, now - ageMillis));
    }
    return effects;
  }

  /** Sets this agent's rank, from 0; even and odd ranks form the two halves. */
  public void setRank(int newRank) {
    rank = newRank;
  }

  /** Handles a version whose chunks are all held and verified. */
  public List<LoadEffect> onVersionComplete(long now, long version) {
    completeAtByVersion.putIfAbsent(version, now);
    List<LoadEffect> effects = startStagingIfDue(now);
    startDeferredFetch(now, effects);
    return effects;
  }

  /**
   * Handles a report of the engine's state.
   *
   * <p>A report that failed shows neither a restart nor the end of a load: the state before it is
   * kept and marked as unreachable.
   *
   * @param reported reported state, {@link Engine#UNREACHABLE} if no report was received
   */
  public List<LoadEffect> onEngineReport(long now, Engine reported) {
    boolean restarted = reported.reachable() && isOfOtherIncarnation(reported);
    engine = reported.reachable() ? reported : engine.asUnreachable();
    boolean staging = step == Step.STAGING || step == Step.STAGED;
    boolean timedOut = staging && now - stagingStartedAt >= STAGING_TIMEOUT_MILLIS;
    if (restarted || timedOut) {
      step = Step.IDLE;
    }
    List<LoadEffect> effects = new ArrayList<>(2);
    if (step == Step.STAGED && engine.reachable()) {
      startLoad(effects);
    }
    if (step == Step.LOADING && engine.reachable() && !engine.busy()) {
      step = Step.IDLE;
      boolean loaded = reported.version() == stepVersion;
      retryAt = loaded ? 0 : now + options.retryDelayMillis();
      if (loaded) {
        effects.add(new LoadEffect.AnnounceLoaded(stepVersion));
      }
    }
    effects.addAll(startStagingIfDue(now));
    startDeferredFetch(now, effects);
    return effects;
  }

  /** Handles the result of the staging with an ID; ignores results of earlier stagings. */
  public List<LoadEffect> onStagingResult(long now, long stagingId, boolean verified) {
    List<LoadEffect> effects = new ArrayList<>(2);
    if (step != Step.STAGING || stagingId != lastStagingId) {
      return effects;
    }
    if (!verified || engine.startMillis() != stepEngineStartMillis) {
      step = Step.IDLE;
      retryAt = now + options.retryDelayMillis();
      return effects;
    }
    step = Step.STAGED;
    if (engine.reachable()) {
      startLoad(effects);
    }
    return effects;
  }

  private void startLoad(List<LoadEffect> effects) {
    step = Step.LOAD_REQUESTED;
    effects.add(new LoadEffect.StartLoad(stepVersion, engine.sequence()));
    log(
        effects,
        stepVersion,
        "order",
        "sequence=" + engine.sequence() + " loaded=" + engine.version());
  }

  /** Returns whether a report is not of the incarnation of the last one. */
  private boolean isOfOtherIncarnation(Engine reported) {
    return reported.startMillis() != engine.startMillis()
        || reported.sequence() < engine.sequence();
  }

  /**
   * Handles the response to a load command.
   *
   * @param accepted whether the engine accepted the command; false also if the response was lost,
   *     since the next engine report shows the outcome
   */
  public List<LoadEffect> onLoadResponse(long now, boolean accepted) {
    if (step == Step.LOAD_REQUESTED) {
      step = accepted ? Step.LOADING : Step.IDLE;
      retryAt = now + options.retryDelayMillis();
    }
    return List.of();
  }

  /**
   * Starts to fetch the newest version once the version before it is complete.
   *
   * <p>Two versions that share a slow link would both miss their cutover; fetched one after the
   * other, each is on time. A version that does not complete delays the next one by at most {@code
   * maxFetchDelayMillis}.
   */
  private void startDeferredFetch(long now, List<LoadEffect> effects) {
    dropLateVersions(now, effects);
    if (deferredVersion == 0) {
      return;
    }
    Long previous = assignedAtByVersion.lowerKey(deferredVersion);
    boolean previousPending =
        previous != null
            && !completeAtByVersion.containsKey(previous)
            && !dropped.contains(previous);
    if (!previousPending || now - assignedAt(deferredVersion) >= options.maxFetchDelayMillis()) {
      effects.add(new LoadEffect.Fetch(deferredVersion));
      deferredVersion = 0;
    }
  }

  /**
   * Drops versions that cannot complete before the cutover to the newest version.
   *
   * <p>They would use bandwidth that the newest version needs, for example after an outage of the
   * origin.
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
      log(effects, version, "drop", "version=" + version + " newest=" + newest);
    }
  }

  /** Stages the newest complete version if the engine is ready and its turn has come. */
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
    log(
        effects,
        version,
        "stage",
        "loaded=" + engine.version() + " ageMs=" + (now - assignedAt(version)));
    return effects;
  }

  /** Returns the earliest time at which this engine may stage a complete version. */
  private long earliestStagingTime(long version) {
    long completeAt = completeAtByVersion.get(version);
    boolean supersededSoon =
        version < targetVersion()
            && assignedAt(targetVersion()) - assignedAt(version) <= options.supersedeWindowMillis();
    if (supersededSoon && !isFirstHalf(version)) {
      return Math.max(
          completeAt,
          assignedAt(version) + options.cutoverMillis() + options.supersedeGraceMillis());
    }
    if (engine.version() == 0 || isFirstHalf(version)) {
      return completeAt;
    }
    // The engine may not serve calls after the earliest cutover to a newer version.
    long cutoverAt = Long.MAX_VALUE;
    for (Map.Entry<Long, Long> e :
        assignedAtByVersion.tailMap(engine.version(), false).entrySet()) {
      cutoverAt = Math.min(cutoverAt, e.getValue() + options.cutoverMillis());
    }
    // The entries stop using this engine that much earlier once one of the first half is back.
    long earliestAt = Math.max(completeAt, cutoverAt - SwitchTimes.MAX_UNREAD_MILLIS);
    long firstHalfBackAt = completeAt + SWITCH_MILLIS;
    return Math.max(earliestAt, Math.min(firstHalfBackAt, cutoverAt));
  }

  /** Returns whether this engine is in the first half for a version; the halves alternate. */
  private boolean isFirstHalf(long version) {
    return (rank + version) % 2 == 0;
  }

  private long assignedAt(long version) {
    return assignedAtByVersion.getOrDefault(version, 0L);
  }

  private void log(List<LoadEffect> effects, long version, String kind, String reason) {
    String subject = "version " + version;
    effects.add(
        new LoadEffect.Log(new Decision(kind, subject, "", List.of(), "engine", reason, 0)));
  }

  private enum Step {
    IDLE,
    STAGING,

    /** Every chunk is staged and verified, but the engine is unreachable. */
    STAGED,

    LOAD_REQUESTED,
    LOADING
  }

  /**
   * State of an engine as last reported.
   *
   * @param reachable whether the engine answered; if not, the rest is as it was before
   * @param startMillis start time of its incarnation in milliseconds since the epoch
   * @param version version that it has loaded, 0 if none
   * @param busy whether a load is in progress
   * @param sequence number of load commands that it has accepted
   */
  public record Engine(
      boolean reachable, long startMillis, long version, boolean busy, long sequence) {

    /** State of an engine that has not answered yet; also stands for a failed report. */
    public static final Engine UNREACHABLE = new Engine(false, 0, 0, false, 0);

    private Engine asUnreachable() {
      return new Engine(false, startMillis, version, busy, sequence);
    }
  }

  /**
   * Limits of switching versions; immutable.
   *
   * @param cutoverMillis time from the assignment of a version until new calls must start on it;
   *     the second half of the engines switches then at the latest
   * @param supersedeWindowMillis time after its assignment within which a newer version must be
   *     assigned for the second half to wait for the newer one
   * @param supersedeGraceMillis longest time after {@code cutoverMillis} that the second half waits
   * @param retryDelayMillis time before a failed step is retried
   * @param maxFetchDelayMillis longest time that a version waits for the previous one to complete
   */
  public record LoadOptions(
      long cutoverMillis,
      long supersedeWindowMillis,
      long supersedeGraceMillis,
      long retryDelayMillis,
      long maxFetchDelayMillis) {}
}
