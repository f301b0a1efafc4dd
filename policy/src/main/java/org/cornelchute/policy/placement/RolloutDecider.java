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
  private Generation openGeneration = Generation.NONE;
  private Step step = Step.IDLE;
  private long retryAt;
  private long rulesVersion;

  /** Steps of a rollout. */
  public enum Step {
    /** Nothing is assigned, or what is assigned is served. */
    IDLE,
    /** The manifest is being read. */
    READING_MANIFEST,
    /** Chunks are being fetched. */
    FETCHING,
    /** The version is held; other replicas go first. */
    WAITING_FOR_TURN,
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
  public Generation openGeneration() {
    return openGeneration;
  }

  /** Takes what this agent is to hold. */
  public List<RolloutEffect> onAssignment(long now, Optional<Assignment> wanted, long rules) {
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
  public List<RolloutEffect> onManifestRead(
      long now, String model, String version, Either<Failure, Manifest> read) {
    List<RolloutEffect> effects = new ArrayList<>();
    boolean asked =
        step == Step.READING_MANIFEST
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
    effects.add(new RolloutEffect.Announce(openGeneration, manifest.digest()));
    adopt(effects);
    return effects;
  }

  /** Learns that every chunk of a version is held and verified. */
  public List<RolloutEffect> onFetchComplete(long now, String digest) {
    List<RolloutEffect> effects = new ArrayList<>();
    if (manifest != null && manifest.digest().equals(digest)) {
      complete = true;
      if (step == Step.FETCHING) {
        step = Step.WAITING_FOR_TURN;
      }
    }
    return effects;
  }

  /** Takes a look at the engine; {@code Optional.empty()} means that it did not answer. */
  public List<RolloutEffect> onEngineState(long now, Optional<EngineState> seen) {
    List<RolloutEffect> effects = new ArrayList<>();
    if (seen.isEmpty()) {
      return effects;
    }
    EngineState before = engine;
    boolean stale =
        before != null
            && before.incarnation().equals(seen.get().incarnation())
            && seen.get().fencingNumber() < before.fencingNumber();
    if (stale) {
      return effects;
    }
    engine = seen.get();
    boolean lost =
        !openGeneration.equals(Generation.NONE)
            && (!engine.manifest().equals(openGeneration.manifest())
                || engine.fencingNumber() > openGeneration.epoch());
    if (lost && step != Step.LOADING) {
      log(effects, "close", openGeneration.model(), "", "engine holds '" + engine.manifest() + "'");
      close(effects, manifest == null ? "" : manifest.digest());
      if (step == Step.IDLE && manifest != null) {
        step = complete ? Step.WAITING_FOR_TURN : Step.FETCHING;
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
      case READING_MANIFEST:
        if (now >= retryAt) {
          readManifest(now, effects);
        }
        break;
      case WAITING_FOR_TURN:
        boolean away = openGeneration.equals(Generation.NONE);
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
          effects.add(new RolloutEffect.LoadVersion(manifest));
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
  public List<RolloutEffect> onLoadResult(
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
    step = complete ? Step.WAITING_FOR_TURN : Step.FETCHING;
    return effects;
  }

  /** Opens the endpoint if the engine holds the assigned version already. */
  private void adopt(List<RolloutEffect> effects) {
    boolean held =
        manifest != null
            && engine != null
            && engine.manifest().equals(manifest.digest())
            && openGeneration.equals(Generation.NONE)
            && (step == Step.FETCHING || step == Step.WAITING_FOR_TURN || step == Step.IDLE);
    if (held) {
      openEndpoint(effects);
    }
  }

  private void openEndpoint(List<RolloutEffect> effects) {
    openGeneration = new Generation(assignment.model(), engine.manifest(), engine.fencingNumber());
    step = Step.IDLE;
    effects.add(new RolloutEffect.OpenEndpoint(openGeneration));
    effects.add(new RolloutEffect.Announce(openGeneration, manifest.digest()));
    log(effects, "ready", name(), self, "engine confirmed order " + openGeneration.epoch());
  }

  private void close(List<RolloutEffect> effects, String wants) {
    openGeneration = Generation.NONE;
    effects.add(new RolloutEffect.CloseEndpoint());
    effects.add(new RolloutEffect.Announce(openGeneration, wants));
  }

  private void readManifest(long now, List<RolloutEffect> effects) {
    step = Step.READING_MANIFEST;
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
