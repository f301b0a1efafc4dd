package org.cornelchute.policy.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.cornelchute.core.log.Decision;
import org.cornelchute.policy.weights.LoadDecider.Engine;

/**
 * One attempt to bring an engine to one version: chunks are staged and read back, the engine is
 * commanded to load them, and it is made sure that the chunks that it took were sound.
 *
 * <p>A load cannot be taken back, and it takes the chunks as they are when the engine accepts the
 * command. So the command is sent only while the evidence for the chunks is younger than {@link
 * #MAX_ORDER_AGE_MILLIS}; older evidence is renewed. If a pass over all chunks takes longer than
 * that, the layers are loaded a few at a time, each on fresh evidence; the engine serves no call
 * until it holds all of them.
 *
 * <p>A command may be accepted late, for example by an engine that was stopped with the command in
 * its socket. If the evidence was too old by the time at which the acceptance was noticed, or an
 * earlier write may have arrived since, all chunks are read once more. Layers with chunks that are
 * not proven to have been sound are released and loaded again.
 */
final class LoadAttempt {

  /**
   * Maximum age of the evidence when a load command is sent. Accepted within the timeout of the
   * command, 1 s, it is at most {@link #MAX_ACCEPTED_AGE_MILLIS} old.
   */
  static final long MAX_ORDER_AGE_MILLIS = 2_000;

  /** Maximum age of the evidence when the acceptance of a load command is noticed. */
  static final long MAX_ACCEPTED_AGE_MILLIS = 3_000;

  /** Duration of a pass that the number of layers loaded at a time is chosen for. */
  private static final long TARGET_PASS_MILLIS = 1_000;

  /** Time for which reports from before an acceptance may still arrive. */
  private static final long MAX_REPORT_DELAY_MILLIS = 1_000;

  private final long version;
  private final long stagingId;
  private final int layers;
  private final long foreignWritesUntil;
  private final long retryDelayMillis;
  private final List<LoadEffect> effects = new ArrayList<>();
  private final TreeSet<Integer> unproven = new TreeSet<>();
  private Step step = Step.STAGING;
  private Evidence evidence;

  /** Time from the oldest read of the evidence until all chunks were sound. */
  private long passMillis;

  /** Evidence that the first of the commands with this sequence was based on. */
  private Evidence orderEvidence;

  /** Layers that the engine holds once the commands accepted so far are complete. */
  private LayerRange held = LayerRange.NONE;

  /** Layers that the next command is to add. */
  private LayerRange scope;

  /** Layers of the last command. */
  private LayerRange ordered = LayerRange.NONE;

  /** Whether the last command is to release layers. */
  private boolean releasing;

  /** Number of commands that the engine had accepted when the last command was sent. */
  private long orderSequence;

  /** Time at which the first of the commands with this sequence was sent. */
  private long orderedAt;

  /** Time at which the acceptance of the last command was noticed. */
  private long acceptedAt;

  /** Whether an earlier command with this sequence may still be accepted. */
  private boolean doubtful;

  private boolean rechecking;
  private boolean cancelled;

  /** Whether the evidence for the last accepted command was too old. */
  private boolean outdated;

  /** Whether a step failed after the engine had accepted a command. */
  private boolean failedOnce;

  private long retryAt;

  /**
   * Creates an attempt whose staging has just been requested.
   *
   * @param version version to load
   * @param stagingId identifies its staging
   * @param layers number of layers of the version
   * @param foreignWritesUntil time until which a write of another version may still arrive
   * @param retryDelayMillis time after which a command without a response is repeated
   */
  LoadAttempt(
      long version, long stagingId, int layers, long foreignWritesUntil, long retryDelayMillis) {
    this.version = version;
    this.foreignWritesUntil = foreignWritesUntil;
    this.stagingId = stagingId;
    this.layers = layers;
    this.retryDelayMillis = retryDelayMillis;
    this.scope = new LayerRange(0, layers);
  }

  long version() {
    return version;
  }

  long stagingId() {
    return stagingId;
  }

  /** Returns whether the attempt was ended from outside, so that the next need not wait. */
  boolean wasCancelled() {
    return cancelled;
  }

  boolean hasLoaded() {
    return step == Step.LOADED;
  }

  boolean hasFailed() {
    return step == Step.FAILED;
  }

  boolean hasEnded() {
    return hasLoaded() || hasFailed();
  }

  /** Returns whether no command was sent yet that the engine may accept. */
  boolean isStaging() {
    return (step == Step.STAGING || step == Step.STAGED)
        && !doubtful
        && (held.equals(LayerRange.NONE) || failedOnce);
  }

  /** Ends the attempt; it has failed once no call to the engine's store is in progress. */
  List<LoadEffect> cancel() {
    cancelled = true;
    if (step == Step.STAGING || rechecking) {
      step = Step.CANCELLED;
      effects.add(new LoadEffect.CancelStaging(stagingId));
    } else if (step != Step.CANCELLED) {
      step = Step.FAILED;
    }
    return takeEffects();
  }

  /** Ends the attempt after a staging that has ended. */
  void abandon() {
    cancelled = true;
    step = Step.FAILED;
  }

  /** Handles a report of the engine, which may be unreachable but is of the same incarnation. */
  List<LoadEffect> onEngineReport(long now, Engine engine) {
    if (engine.reachable()) {
      advance(now, engine);
    }
    return takeEffects();
  }

  private void advance(long now, Engine engine) {
    boolean mayBeAccepted = step == Step.ORDERED || step == Step.DOUBTFUL || isStagedAgain();
    if (mayBeAccepted && engine.sequence() > orderSequence) {
      onAccepted(now, "report");
    }
    if (step == Step.STAGED) {
      orderIfFresh(now, engine);
    } else if (step == Step.DOUBTFUL && now >= retryAt) {
      if (releasing) {
        order(now, engine, ordered);
      } else {
        renewEvidence();
      }
    } else if (step == Step.LOADING || step == Step.RELEASING) {
      onProgress(now, engine);
    }
  }

  /** Returns whether the chunks were staged again because a command had no response. */
  private boolean isStagedAgain() {
    return step == Step.STAGED && doubtful;
  }

  /** Handles chunks that are all staged and sound. */
  List<LoadEffect> onVerified(long now, Evidence newEvidence, Engine engine) {
    if (step == Step.CANCELLED) {
      step = Step.FAILED;
      return List.of();
    }
    evidence = newEvidence;
    passMillis = evidence.ageAt(now);
    step = Step.STAGED;
    return onEngineReport(now, engine);
  }

  /** Handles the end of the staging without a result. */
  void onStagingEnded(long now) {
    if (step == Step.STAGING && doubtful) {
      // No other version may be staged while the engine may still accept the command.
      step = Step.DOUBTFUL;
      retryAt = now + retryDelayMillis;
    } else {
      if (rechecking) {
        rechecking = false;
        addUnproven(ordered);
      }
      fail();
    }
  }

  /** Fails, or continues with the layers held if the engine holds any: they may be unproven. */
  private void fail() {
    if (step == Step.CANCELLED || held.equals(LayerRange.NONE)) {
      step = Step.FAILED;
    } else {
      step = Step.LOADING;
      failedOnce = true;
    }
  }

  private void addUnproven(LayerRange range) {
    for (int layer = range.from(); layer < Math.min(layers, range.to()); layer++) {
      unproven.add(layer);
    }
  }

  /**
   * Handles the result of reading all chunks once more.
   *
   * @param changed layers with a chunk that did not match, or was written since the command
   * @param foreign those of them with a chunk of another version
   */
  List<LoadEffect> onRechecked(
      long now, Set<Integer> changed, Set<Integer> foreign, Engine engine) {
    rechecking = false;
    if (step == Step.CANCELLED) {
      step = Step.FAILED;
      return List.of();
    }
    for (int layer : outdated ? changed : foreign) {
      if (layer >= ordered.from() && layer < ordered.to()) {
        unproven.add(layer);
      }
    }
    log(
        "recheck",
        "unprovenLayers="
            + unproven
            + " changedLayers="
            + changed
            + " orderMs="
            + (now - orderedAt));
    return onEngineReport(now, engine);
  }

  /** Handles the response to a load command, or its absence. */
  List<LoadEffect> onResponse(long now, LoadResponse response) {
    if (step != Step.ORDERED) {
      return List.of();
    }
    if (response == LoadResponse.ACCEPTED) {
      onAccepted(now, "response");
    } else if (response == LoadResponse.UNKNOWN || doubtful) {
      doubtful = true;
      step = Step.DOUBTFUL;
      retryAt = now + retryDelayMillis;
    } else {
      fail();
    }
    return takeEffects();
  }

  private void orderIfFresh(long now, Engine engine) {
    if (engine.busy()) {
      return;
    }
    if (held.equals(LayerRange.NONE) && !doubtful && engine.version() == version) {
      // Loaded by an earlier attempt or process, on evidence that is not known here.
      held = new LayerRange(engine.layers().from(), Math.min(layers, engine.layers().to()));
      if (!held.equals(LayerRange.NONE)) {
        addUnproven(held);
        step = Step.LOADING;
        return;
      }
    }
    // A command without response is repeated in any case: its acceptance is judged by the first.
    if (!doubtful && evidence.ageAt(now) > MAX_ORDER_AGE_MILLIS) {
      narrowScope();
      renewEvidence();
      return;
    }
    boolean first = held.equals(LayerRange.NONE);
    releasing = false;
    order(now, engine, first ? scope : held.hull(scope));
  }

  private void renewEvidence() {
    step = Step.STAGING;
    effects.add(new LoadEffect.RefreshStaging(stagingId, scope));
  }

  /** Takes fewer layers if a pass over the chunks of all takes too long. */
  private void narrowScope() {
    int size = scope.to() - scope.from();
    if (doubtful || passMillis <= TARGET_PASS_MILLIS || size <= 1) {
      return;
    }
    scope = partOf(scope, (int) Math.max(1, size * TARGET_PASS_MILLIS / passMillis));
  }

  /** Returns the layers of a range that are next to those held; the first ones if none are. */
  private LayerRange partOf(LayerRange range, int size) {
    return held.from() > 0
        ? new LayerRange(Math.max(range.from(), range.to() - size), range.to())
        : new LayerRange(range.from(), Math.min(range.to(), range.from() + size));
  }

  /** Returns the layers that are not held; those that are lie at one end of the model. */
  private LayerRange missingLayers() {
    return held.from() > 0 ? new LayerRange(0, held.from()) : new LayerRange(held.to(), layers);
  }

  private void order(long now, Engine engine, LayerRange range) {
    step = Step.ORDERED;
    ordered = range;
    if (!doubtful) {
      orderSequence = engine.sequence();
      orderedAt = now;
      orderEvidence = evidence;
    }
    LayerRange named = range.covers(layers) ? LayerRange.ALL : range;
    effects.add(new LoadEffect.StartLoad(version, orderSequence, named));
    log(
        "order",
        "sequence="
            + orderSequence
            + " loaded="
            + engine.version()
            + " layers="
            + range.from()
            + "-"
            + range.to()
            + " "
            + evidence.describe(now));
  }

  private void onAccepted(long now, String noticedBy) {
    outdated = orderEvidence.ageAt(now) > MAX_ACCEPTED_AGE_MILLIS;
    log(
        "accepted",
        "noticedBy="
            + noticedBy
            + " orderMs="
            + (now - orderedAt)
            + " "
            + orderEvidence.describe(now)
            + " outdated="
            + outdated);
    doubtful = false;
    acceptedAt = now;
    held = ordered;
    step = releasing ? Step.RELEASING : Step.LOADING;
    if (!releasing && (outdated || now < foreignWritesUntil)) {
      rechecking = true;
      effects.add(new LoadEffect.RecheckStaging(stagingId, orderedAt));
    }
  }

  private void onProgress(long now, Engine engine) {
    // A report from before the acceptance may arrive after its notice.
    boolean stale =
        engine.sequence() <= orderSequence && now - acceptedAt < MAX_REPORT_DELAY_MILLIS;
    if (stale || engine.busy() || rechecking) {
      return;
    }
    if (engine.version() != version) {
      step = Step.FAILED;
    } else if (step == Step.RELEASING) {
      unproven.removeIf(layer -> layer < held.from() || layer >= held.to());
      scope = missingWhileUnproven();
      renewEvidence();
    } else if (!held.covers(layers)) {
      LayerRange proven = provenEndOfHeld();
      if (proven.equals(LayerRange.NONE)) {
        scope = partOf(missingWhileUnproven(), nextScopeSize());
        renewEvidence();
      } else {
        releasing = true;
        order(now, engine, proven);
      }
    } else if (unproven.isEmpty() || layers == 1) {
      step = Step.LOADED;
    } else {
      releasing = true;
      order(now, engine, provenRange());
    }
  }

  /**
   * Returns the layers that may be added to those held: all that are missing, but one while any
   * held is unproven, since the engine serves calls as soon as it holds all.
   */
  private LayerRange missingWhileUnproven() {
    LayerRange missing = missingLayers();
    int size = missing.to() - missing.from();
    return unproven.isEmpty() || size <= 1 ? missing : partOf(missing, size - 1);
  }

  /**
   * Returns the longer run of proven layers at an end of those held beside unproven ones, {@link
   * LayerRange#NONE} if there is none.
   */
  private LayerRange provenEndOfHeld() {
    if (unproven.isEmpty()) {
      return LayerRange.NONE;
    }
    int before = unproven.first() - held.from();
    int after = held.to() - 1 - unproven.last();
    if (Math.max(before, after) <= 0) {
      return LayerRange.NONE;
    }
    return before >= after
        ? new LayerRange(held.from(), unproven.first())
        : new LayerRange(unproven.last() + 1, held.to());
  }

  /** Returns how many layers are loaded next: more than before if their pass was quick. */
  private int nextScopeSize() {
    int size = scope.to() - scope.from();
    return passMillis < TARGET_PASS_MILLIS / 4 ? 2 * size : size;
  }

  /** Returns the longest run of proven layers at an end of the model, else its first half. */
  private LayerRange provenRange() {
    int before = unproven.first();
    int after = layers - 1 - unproven.last();
    if (before == 0 && after == 0) {
      return new LayerRange(0, layers / 2);
    }
    return before >= after ? new LayerRange(0, before) : new LayerRange(layers - after, layers);
  }

  private List<LoadEffect> takeEffects() {
    List<LoadEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }

  private void log(String kind, String reason) {
    effects.add(
        new LoadEffect.Log(
            new Decision(kind, "version " + version, "", List.of(), "engine", reason, 0)));
  }

  private enum Step {
    STAGING,

    /** Every chunk was sound when it was read; no command was sent on that evidence yet. */
    STAGED,

    ORDERED,

    /** The response to a command was lost; the engine may have accepted it, or may do so later. */
    DOUBTFUL,

    LOADING,

    /** Layers that are not proven to be sound are being released. */
    RELEASING,

    CANCELLED,
    LOADED,
    FAILED
  }
}
