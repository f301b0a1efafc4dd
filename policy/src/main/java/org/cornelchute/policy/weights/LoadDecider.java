package org.cornelchute.policy.weights;

import java.util.ArrayList;
import java.util.HashMap;
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
 * complete version, drained while the last chunks are fetched, the second half at the cutover, when
 * calls may no longer start on the older version. A version that is superseded soon is loaded by
 * the first half only; the second half waits for the newer version. Apart from that wait, an engine
 * that may not serve any call loads at once.
 *
 * <p>An engine that holds superseded weights when entries stop sending calls to it is fenced, so
 * that it starts no call that was sent before and arrives late; see {@link EngineFence}.
 */
public final class LoadDecider {

  /** Time that the running calls of an engine usually take to end. */
  public static final long DRAIN_MILLIS = 1_200;

  /** Age of a version that counts as old because its age is not known. */
  public static final long UNKNOWN_AGE_MILLIS = 3_600_000;

  /** Time after which a staging without a result is cancelled for that of a newer version. */
  private static final long STAGING_TIMEOUT_MILLIS = 8_000;

  /** Time for which a write without a response, or one of a process before, may still arrive. */
  private static final long LATE_WRITE_MILLIS = 30_000;

  /**
   * Versions assigned within the supersede window divided by this number count as assigned
   * together.
   */
  private static final int ASSIGNED_TOGETHER_DIVISOR = 4;

  private final LoadOptions options;
  private final EngineFence fence;

  /** Time at which the assignment was first seen by any process, by version. */
  private final TreeMap<Long, Long> assignedAtByVersion = new TreeMap<>();

  /** Latest time at which it may have been seen first, by version. */
  private final TreeMap<Long, Long> certainlyAssignedAtByVersion = new TreeMap<>();

  /** Time at which this agent learned of the assignment, by version. */
  private final TreeMap<Long, Long> learnedAtByVersion = new TreeMap<>();

  /** Time at which every chunk was held and verified, by version. */
  private final TreeMap<Long, Long> completeAtByVersion = new TreeMap<>();

  private final Set<Long> dropped = new HashSet<>();
  private int rank;
  private Engine engine = Engine.UNREACHABLE;

  /** Load in progress, null if there is none. */
  private LoadAttempt attempt;

  /** Number of layers, by version; 1 for versions without an entry. */
  private final Map<Long, Integer> layersByVersion = new HashMap<>();

  /** Time until which a write without a response may still arrive, by version. */
  private final Map<Long, Long> lateWriteUntilByVersion = new HashMap<>();

  /** Time until which a write of the process before this one may still arrive, 0 for none. */
  private long predecessorWritesUntil;

  /** Time of the start of this process, far in the past if it is not known. */
  private long startedAt = Long.MIN_VALUE / 4;

  private boolean engineSeen;

  /** Whether the engine's version was loaded on a command that this process did not send. */
  private boolean loadedByOther;

  /** Version whose fetch has not started yet, 0 if none. */
  private long deferredVersion;

  private long lastStagingId;
  private long stagingStartedAt;
  private long retryAt;

  /** Creates a decider without an engine report or an assigned version. */
  public LoadDecider(LoadOptions options) {
    this.options = options;
    this.fence = new EngineFence(options.retryDelayMillis());
  }

  /** Handles the start of this process. */
  public void onStart(long now) {
    startedAt = now;
  }

  /** Handles a write of a chunk that had no response, so that it may still arrive. */
  public void onWriteLost(long now, long version) {
    lateWriteUntilByVersion.put(version, now + LATE_WRITE_MILLIS);
  }

  /** Sets the number of layers of a version that the engine can load separately. */
  public void setLayers(long version, int layers) {
    layersByVersion.put(version, layers);
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

  /** Returns whether the engine holds the newest version and nothing remains to be done. */
  public boolean isSettled() {
    return attempt == null && engine.reachable() && loadedVersion() == targetVersion();
  }

  /**
   * Handles the assignment of a version by operators; ignores it unless it is newer than the target
   * version, or known and older than it seemed.
   *
   * <p>Of versions learned of at about the same time, for example after an outage of the store,
   * only the newest is fetched. Otherwise, agents that learn only of the newest one would have no
   * peers to fetch it from while the others fetch the older version first.
   *
   * @param ageMillis time since the version was first seen by any process, {@link
   *     #UNKNOWN_AGE_MILLIS} if it is not known. An agent that is notified late must not count the
   *     cutover from then, because no calls are sent to the engine after the cutover of the others.
   *     It does count the fence from then if the age is not known, because entries may still send
   *     calls to the engine.
   */
  public List<LoadEffect> onVersionAssigned(long now, long version, long ageMillis) {
    List<LoadEffect> effects = new ArrayList<>(1);
    if (version > targetVersion() || assignedAtByVersion.containsKey(version)) {
      long certainlyAt = ageMillis == UNKNOWN_AGE_MILLIS ? now : now - ageMillis;
      certainlyAssignedAtByVersion.merge(version, certainlyAt, Math::min);
    }
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

  /**
   * Handles a version whose last chunks are expected within {@link #DRAIN_MILLIS}. An engine of the
   * first half gets no new calls from now on, so that its running calls end while these chunks are
   * fetched and it can load at once.
   */
  public List<LoadEffect> onVersionNearlyComplete(long now, long version) {
    List<LoadEffect> effects = new ArrayList<>(2);
    boolean serves = attempt == null && engine.reachable() && loadedVersion() > 0;
    boolean switches =
        version > engine.version() && isFirstHalf(version) && !isFenced(now, version);
    if (serves && switches && !completeAtByVersion.containsKey(version)) {
      effects.add(new LoadEffect.AnnounceSwitch(version));
      log(effects, version, "drain", "loaded=" + engine.version());
    }
    return effects;
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
    if (reported.reachable() && !engineSeen) {
      engineSeen = true;
      // An engine that holds weights may have had another agent before this process.
      predecessorWritesUntil = reported.version() > 0 ? startedAt + LATE_WRITE_MILLIS : 0;
    }
    if (reported.reachable() && isLoadedByOther(reported)) {
      loadedByOther = true;
    }
    boolean restarted = reported.reachable() && isOfOtherIncarnation(reported);
    engine = reported.reachable() ? reported : engine.asUnreachable();
    List<LoadEffect> effects = new ArrayList<>(2);
    if (attempt != null) {
      effects.addAll(
          restarted || isSuperseded(now) ? attempt.cancel() : attempt.onEngineReport(now, engine));
    }
    finishAttempt(now, effects);
    effects.addAll(startStagingIfDue(now));
    fenceIfDue(now, effects);
    startDeferredFetch(now, effects);
    return effects;
  }

  /** Fences an engine that holds superseded weights, unless a command to load others was sent. */
  private void fenceIfDue(long now, List<LoadEffect> effects) {
    if (attempt != null && !attempt.isStaging()) {
      return;
    }
    long fencedAt = fencedAt(engine.version());
    fence
        .check(now, engine, fencedAt)
        .ifPresent(
            command -> {
              effects.add(command);
              log(
                  effects,
                  command.version(),
                  "fence",
                  "sequence=" + command.sequence() + " lateMs=" + (now - fencedAt));
            });
  }

  /** Returns the earliest time that is some time after the assignment of a newer version. */
  private static long earliestOfNewer(
      TreeMap<Long, Long> assignedAtByVersion, long version, long millis) {
    long earliest = Long.MAX_VALUE;
    for (long assignedAt : assignedAtByVersion.tailMap(version, false).values()) {
      earliest = Math.min(earliest, assignedAt + millis);
    }
    return earliest;
  }

  /**
   * Returns whether the engine has accepted a command that this process did not send, such as one
   * of the process before, whose evidence is not known.
   */
  private boolean isLoadedByOther(Engine reported) {
    if (attempt != null || isOfOtherIncarnation(reported)) {
      return false;
    }
    return fence.isLastCommandOf(reported)
        ? fence.wasRefused(reported)
        : reported.sequence() > engine.sequence();
  }

  /**
   * Returns whether a staging is of no use any more: no call may start on its version, or a newer
   * version is complete and the staging has taken too long.
   */
  private boolean isSuperseded(long now) {
    if (!attempt.isStaging()) {
      return false;
    }
    boolean late =
        now - stagingStartedAt >= STAGING_TIMEOUT_MILLIS
            && completeAtByVersion.lastKey() > attempt.version();
    return late || isFenced(now, attempt.version());
  }

  /** Returns whether no call may start on a version any more. */
  private boolean isFenced(long now, long version) {
    return now >= fencedAt(version);
  }

  /** Returns the time from which no call may start on a version. */
  private long fencedAt(long version) {
    return earliestOfNewer(certainlyAssignedAtByVersion, version, options.fenceMillis());
  }

  /** Handles a staging whose chunks are all sound; ignores that of an earlier attempt. */
  public List<LoadEffect> onStagingVerified(long now, long stagingId, Evidence evidence) {
    if (!isCurrent(stagingId)) {
      return List.of();
    }
    List<LoadEffect> effects = new ArrayList<>(2);
    if (attempt.isStaging() && isFenced(now, attempt.version())) {
      attempt.abandon();
    } else {
      effects.addAll(attempt.onVerified(now, evidence, engine));
    }
    finishAttempt(now, effects);
    effects.addAll(startStagingIfDue(now));
    return effects;
  }

  /** Handles a staging that has ended without a result; ignores that of an earlier attempt. */
  public List<LoadEffect> onStagingEnded(long now, long stagingId) {
    List<LoadEffect> effects = new ArrayList<>(2);
    if (isCurrent(stagingId)) {
      attempt.onStagingEnded(now);
      finishAttempt(now, effects);
      effects.addAll(startStagingIfDue(now));
    }
    return effects;
  }

  /**
   * Handles the result of reading all chunks once more after a load command was accepted; ignores
   * that of an earlier attempt.
   *
   * @param changed layers with a chunk that did not match, or was written since the command
   * @param foreign those of them with a chunk of another version
   */
  public List<LoadEffect> onStagingRechecked(
      long now, long stagingId, Set<Integer> changed, Set<Integer> foreign) {
    if (!isCurrent(stagingId)) {
      return List.of();
    }
    List<LoadEffect> effects = new ArrayList<>(attempt.onRechecked(now, changed, foreign, engine));
    finishAttempt(now, effects);
    return effects;
  }

  private boolean isCurrent(long stagingId) {
    return attempt != null && attempt.stagingId() == stagingId;
  }

  private void finishAttempt(long now, List<LoadEffect> effects) {
    if (attempt == null || !attempt.hasEnded()) {
      return;
    }
    boolean loaded = attempt.hasLoaded();
    retryAt = loaded || attempt.wasCancelled() ? 0 : now + options.retryDelayMillis();
    loadedByOther &= !loaded;
    if (loaded) {
      effects.add(new LoadEffect.AnnounceLoaded(attempt.version()));
      // The command of the attempt may have been accepted in place of that of the fence.
      fence.forgetCommand();
    }
    attempt = null;
  }

  /** Returns whether a report is not of the incarnation of the last one. */
  private boolean isOfOtherIncarnation(Engine reported) {
    return reported.startMillis() != engine.startMillis()
        || reported.sequence() < engine.sequence();
  }

  /** Handles the response to a load command, or its absence. */
  public List<LoadEffect> onLoadResponse(long now, LoadResponse response) {
    List<LoadEffect> effects = new ArrayList<>(2);
    if (attempt != null) {
      effects.addAll(attempt.onResponse(now, response));
      finishAttempt(now, effects);
    }
    return effects;
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
    if (attempt != null || !engine.reachable() || completeAtByVersion.isEmpty()) {
      return effects;
    }
    long version = completeAtByVersion.lastKey();
    boolean mayStage = !engine.busy() || fence.isLastCommandOf(engine);
    if (!mayStage || isFenced(now, version)) {
      return effects;
    }
    boolean loaded = loadedVersion() >= version && !(loadedByOther && engine.version() == version);
    if (loaded || now < retryAt || now < earliestStagingTime(version)) {
      return effects;
    }
    if (loadedVersion() > 0) {
      effects.add(new LoadEffect.AnnounceSwitch(version));
    }
    lastStagingId++;
    stagingStartedAt = now;
    attempt =
        new LoadAttempt(
            version,
            lastStagingId,
            layersByVersion.getOrDefault(version, 1),
            foreignWritesUntil(version),
            options.retryDelayMillis());
    effects.add(new LoadEffect.Stage(version, lastStagingId));
    log(
        effects,
        version,
        "stage",
        "loaded=" + engine.version() + " ageMs=" + (now - assignedAt(version)));
    return effects;
  }

  /** Returns the version of which the engine holds all layers, 0 if none. */
  private long loadedVersion() {
    int layers = layersByVersion.getOrDefault(engine.version(), 1);
    return engine.layers().covers(layers) ? engine.version() : 0;
  }

  private long foreignWritesUntil(long version) {
    long until = predecessorWritesUntil;
    for (Map.Entry<Long, Long> e : lateWriteUntilByVersion.entrySet()) {
      if (e.getKey() != version) {
        until = Math.max(until, e.getValue());
      }
    }
    return until;
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
    if (loadedVersion() == 0 || loadedVersion() == version || isFirstHalf(version)) {
      return completeAt;
    }
    // The engine may not serve calls after the earliest cutover to a newer version.
    return Math.max(
        completeAt,
        earliestOfNewer(assignedAtByVersion, engine.version(), options.cutoverMillis()));
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

  /**
   * State of an engine as last reported.
   *
   * @param reachable whether the engine answered; if not, the rest is as it was before
   * @param startMillis start time of its incarnation in milliseconds since the epoch
   * @param version version that it has loaded, 0 if none
   * @param busy whether a load is in progress
   * @param sequence number of load commands that it has accepted
   * @param layers layers of the version that it has loaded; {@link LayerRange#ALL} if it does not
   *     report them
   */
  public record Engine(
      boolean reachable,
      long startMillis,
      long version,
      boolean busy,
      long sequence,
      LayerRange layers) {

    /** State of an engine that has not answered yet; also stands for a failed report. */
    public static final Engine UNREACHABLE = new Engine(false, 0, 0, false, 0);

    /** Creates the state of an engine with all layers of its version. */
    public Engine(boolean reachable, long startMillis, long version, boolean busy, long sequence) {
      this(reachable, startMillis, version, busy, sequence, LayerRange.ALL);
    }

    private Engine asUnreachable() {
      return new Engine(false, startMillis, version, busy, sequence, layers);
    }
  }

  /**
   * Limits of switching versions; immutable.
   *
   * @param cutoverMillis time from the assignment of a version until new calls must start on it;
   *     the second half of the engines switches then at the latest
   * @param fenceMillis time from the assignment of a version after which an engine must not start
   *     calls on an older one; {@link #NO_FENCE_MILLIS} if it may for ever
   * @param supersedeWindowMillis time after its assignment within which a newer version must be
   *     assigned for the second half to wait for the newer one
   * @param supersedeGraceMillis longest time after {@code cutoverMillis} that the second half waits
   * @param retryDelayMillis time before a failed step is retried
   * @param maxFetchDelayMillis longest time that a version waits for the previous one to complete
   */
  public record LoadOptions(
      long cutoverMillis,
      long fenceMillis,
      long supersedeWindowMillis,
      long supersedeGraceMillis,
      long retryDelayMillis,
      long maxFetchDelayMillis) {

    /** Value of {@code fenceMillis} for engines that are never fenced. */
    public static final long NO_FENCE_MILLIS = Long.MAX_VALUE / 2;

    /** Creates limits without a fence. */
    public LoadOptions(
        long cutoverMillis,
        long supersedeWindowMillis,
        long supersedeGraceMillis,
        long retryDelayMillis,
        long maxFetchDelayMillis) {
      this(
          cutoverMillis,
          NO_FENCE_MILLIS,
          supersedeWindowMillis,
          supersedeGraceMillis,
          retryDelayMillis,
          maxFetchDelayMillis);
    }
  }
}
