package org.cornelchute.policy.placement;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.weights.Manifest;

/**
 * Takes one engine from what it holds to what it is assigned.
 *
 * <p>The endpoint is open only for a generation that the engine itself has confirmed after the
 * load. The old version is served until the new one is held whole and it is this agent's turn; then
 * the endpoint is closed, drained, loaded, read back and opened.
 */
public final class RolloutDecider {

  private static final long MANIFEST_RETRY_MILLIS = 500;
  private static final long LOAD_RETRY_MILLIS = 1_000;

  private final String self;
  private Assignment assignment;
  private Manifest manifest;
  private boolean complete;
  private EngineState engine;
  private Generation open = Generation.NONE;
  private Step step = Step.IDLE;
  private long retryAt;
  private long rulesVersion;

  /** Steps of a rollout. */
  public enum Step {
    /** Nothing is assigned, or what is assigned is served. */
    IDLE,
    /** The manifest is being read. */
    MANIFEST,
    /** Chunks are being fetched. */
    FETCHING,
    /** The version is held; other replicas go first. */
    WAITING,
    /** The endpoint is closed and ends what it runs. */
    DRAINING,
    /** The engine is loading. */
    LOADING
  }

  /** Creates a decider for the agent with this member id. */
  public RolloutDecider(String self) {
    this.self = self;
  }

  /** Returns the present step. */
  public Step step() {
    return step;
  }

  /** Returns what the endpoint is open for, {@link Generation#NONE} if it is closed. */
  public Generation open() {
    return open;
  }

  /** Takes what this agent is to hold. */
  public List<RolloutEffect> assigned(long now, Optional<Assignment> wanted, long rules) {
    List<RolloutEffect> effects = new ArrayList<>();
    rulesVersion = rules;
    Assignment a = wanted.orElse(null);
    if (a == null) {
      if (assignment != null) {
        log(effects, "unplace", assignment.model(), "", "no longer assigned");
        assignment = null;
        manifest = null;
        complete = false;
        step = Step.IDLE;
        close(effects, "");
      }
      return effects;
    }
    boolean same =
        assignment != null
            && assignment.model().equals(a.model())
            && assignment.version().equals(a.version());
    assignment = a;
    if (!same) {
      log(effects, "place", a.model() + ":" + a.version(), self, "rank " + a.rank());
      readManifest(now, effects);
    }
    return effects;
  }

  /** Takes the manifest of a version, or why it could not be read. */
  public List<RolloutEffect> manifestRead(
      long now, String model, String version, Either<Failure, Manifest> read) {
    List<RolloutEffect> effects = new ArrayList<>();
    boolean asked =
        step == Step.MANIFEST
            && assignment != null
            && assignment.model().equals(model)
            && assignment.version().equals(version);
    if (!asked || read.isLeft()) {
      return effects;
    }
    manifest = read.get();
    retryAt = now;
    complete = false;
    step = Step.FETCHING;
    effects.add(new RolloutEffect.StartSwarm(manifest));
    effects.add(new RolloutEffect.Announce(open, manifest.digest()));
    adopt(effects);
    return effects;
  }

  /** Learns that every chunk of a version is held and verified. */
  public List<RolloutEffect> fetched(long now, String digest) {
    List<RolloutEffect> effects = new ArrayList<>();
    if (manifest != null && manifest.digest().equals(digest)) {
      complete = true;
      if (step == Step.FETCHING) {
        step = Step.WAITING;
      }
    }
    return effects;
  }

  /** Takes a look at the engine; {@code Optional.empty()} means that it did not answer. */
  public List<RolloutEffect> engineSeen(long now, Optional<EngineState> seen) {
    List<RolloutEffect> effects = new ArrayList<>();
    if (seen.isEmpty()) {
      return effects;
    }
    EngineState before = engine;
    boolean stale =
        before != null
            && before.boot().equals(seen.get().boot())
            && seen.get().fence() < before.fence();
    if (stale) {
      return effects;
    }
    engine = seen.get();
    boolean lost =
        !open.equals(Generation.NONE)
            && (!engine.manifest().equals(open.manifest()) || engine.fence() > open.epoch());
    if (lost && step != Step.LOADING) {
      log(effects, "close", open.model(), "", "engine holds '" + engine.manifest() + "'");
      close(effects, manifest == null ? "" : manifest.digest());
      if (step == Step.IDLE && manifest != null) {
        step = complete ? Step.WAITING : Step.FETCHING;
      }
    }
    adopt(effects);
    return effects;
  }

  /**
   * Advances the rollout.
   *
   * @param idle whether the endpoint runs no request
   * @param turn whether this agent may take its endpoint away now
   */
  public List<RolloutEffect> tick(long now, boolean idle, boolean turn) {
    List<RolloutEffect> effects = new ArrayList<>();
    switch (step) {
      case MANIFEST:
        if (now >= retryAt) {
          readManifest(now, effects);
        }
        break;
      case WAITING:
        boolean away = open.equals(Generation.NONE);
        if (engine != null && now >= retryAt && (away || turn)) {
          step = Step.DRAINING;
          log(effects, "switch", name(), self, away ? "endpoint serves nothing" : "its turn");
          if (!away) {
            close(effects, manifest.digest());
          }
        }
        break;
      case DRAINING:
        if (idle) {
          step = Step.LOADING;
          effects.add(new RolloutEffect.OrderLoad(manifest));
        }
        break;
      default:
        break;
    }
    return effects;
  }

  /**
   * Takes the outcome of a load order: the engine as read back after it.
   *
   * @param digest manifest that was ordered
   * @param readBack the engine's own word, or why there is none
   */
  public List<RolloutEffect> loaded(
      long now, String digest, Either<Failure, EngineState> readBack) {
    List<RolloutEffect> effects = new ArrayList<>();
    if (readBack.isRight()) {
      engine = readBack.get();
    }
    if (step != Step.LOADING) {
      return effects;
    }
    boolean current = manifest != null && manifest.digest().equals(digest);
    if (current && readBack.isRight() && engine.manifest().equals(digest)) {
      openEndpoint(effects);
      return effects;
    }
    String reason = readBack.isLeft() ? readBack.getLeft().message() : "engine holds another";
    log(effects, "load", name(), "", reason);
    retryAt = now + LOAD_RETRY_MILLIS;
    step = complete ? Step.WAITING : Step.FETCHING;
    return effects;
  }

  /** Opens the endpoint if the engine holds the assigned version already. */
  private void adopt(List<RolloutEffect> effects) {
    boolean held =
        manifest != null
            && engine != null
            && engine.manifest().equals(manifest.digest())
            && open.equals(Generation.NONE)
            && (step == Step.FETCHING || step == Step.WAITING || step == Step.IDLE);
    if (held) {
      openEndpoint(effects);
    }
  }

  private void openEndpoint(List<RolloutEffect> effects) {
    open = new Generation(assignment.model(), engine.manifest(), engine.fence());
    step = Step.IDLE;
    effects.add(new RolloutEffect.OpenEndpoint(open));
    effects.add(new RolloutEffect.Announce(open, manifest.digest()));
    log(effects, "ready", name(), self, "engine confirmed order " + open.epoch());
  }

  private void close(List<RolloutEffect> effects, String wants) {
    open = Generation.NONE;
    effects.add(new RolloutEffect.CloseEndpoint());
    effects.add(new RolloutEffect.Announce(open, wants));
  }

  private void readManifest(long now, List<RolloutEffect> effects) {
    step = Step.MANIFEST;
    retryAt = now + MANIFEST_RETRY_MILLIS;
    effects.add(new RolloutEffect.ReadManifest(assignment.model(), assignment.version()));
  }

  private String name() {
    return assignment == null ? "" : assignment.model() + ":" + assignment.version();
  }

  private void log(
      List<RolloutEffect> effects, String kind, String subject, String choice, String reason) {
    effects.add(
        new RolloutEffect.Log(
            new Decision(kind, subject, "", List.of(), choice, reason, rulesVersion)));
  }
}
