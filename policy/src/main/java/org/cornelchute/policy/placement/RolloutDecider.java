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
 * State machine that brings one engine to the version that is assigned to its agent.
 *
 * <p>The old version is served until all chunks of the new version are held and {@link
 * PlacementDecider#maySwitch} permits the switch. Then the endpoint is closed and drained, the
 * engine is instructed to load the new version, and its state is read back.
 *
 * <p>The endpoint is open only for a generation that the engine itself has reported. The response
 * to a load command may be lost, and an engine that ignores fencing numbers may load another
 * version, so that the command alone does not show what is loaded.
 *
 * <p>A load command cannot be taken back, and the engine may act on it at any time until its result
 * is known. Until then the endpoint stays closed, whatever the engine reports and whichever version
 * is assigned by then, and no other load starts.
 */
public final class RolloutDecider {

  private static final long MANIFEST_RETRY_MILLIS = 500;
  private static final long LOAD_RETRY_MILLIS = 1_000;

  /**
   * Age from its request above which a report shows nothing about the engine. Requests time out
   * after half of it; the rest passes only while the agent is stopped.
   */
  private static final long MAX_REPORT_AGE_MILLIS = 2_000;

  private final String self;
  private Assignment assignment;
  private Manifest manifest;
  private boolean chunksComplete;
  private EngineState engine;

  /** Time at which the last known state of the engine was requested. */
  private long engineRequestedAt;

  private Generation openGeneration = Generation.NONE;
  private Step step = Step.IDLE;

  /** Whether a load was requested whose result is not known yet. */
  private boolean loadInFlight;

  private long retryAtMillis;
  private long rulesVersion;

  /** Steps of a rollout. */
  public enum Step {
    /** No version is assigned, or the assigned version is served. */
    IDLE,
    /** The manifest is being read from the origin. */
    READING_MANIFEST,
    /** The chunks are being fetched and verified. */
    FETCHING,
    /** All chunks are held; the agent waits until the rollout order permits the switch. */
    WAITING_FOR_TURN,
    /** The endpoint is closed; the requests in flight are completed. */
    DRAINING,
    /** The engine is being instructed to load the version; its state is not read back yet. */
    LOADING
  }

  /** Creates a decider for the agent with this member id. */
  public RolloutDecider(String self) {
    this.self = self;
  }

  /** Returns the current step. */
  public Step step() {
    return step;
  }

  /** Returns the generation that the endpoint is open for, {@link Generation#NONE} if closed. */
  public Generation openGeneration() {
    return openGeneration;
  }

  /**
   * Handles the current assignment of this agent. If it is empty, the endpoint is closed; if the
   * model or the version has changed, a rollout starts.
   */
  public List<RolloutEffect> onAssignment(
      long now, Optional<Assignment> wanted, long newRulesVersion) {
    List<RolloutEffect> effects = new ArrayList<>();
    rulesVersion = newRulesVersion;
    Assignment newAssignment = wanted.orElse(null);
    if (newAssignment == null) {
      if (assignment != null) {
        log(effects, "unplace", assignment.model(), "", "no longer assigned");
        assignment = null;
        manifest = null;
        chunksComplete = false;
        step = Step.IDLE;
        closeEndpoint(effects, "");
      }
      return effects;
    }
    boolean same =
        assignment != null
            && assignment.model().equals(newAssignment.model())
            && assignment.version().equals(newAssignment.version());
    assignment = newAssignment;
    if (!same) {
      log(
          effects,
          "place",
          newAssignment.model() + ":" + newAssignment.version(),
          self,
          "assigned with rank " + newAssignment.rank());
      requestManifest(now, effects);
    }
    return effects;
  }

  /**
   * Handles the manifest of a version, or the failure to read it. A failure has no effect, as
   * {@link #tick} requests the manifest again; the manifest of a version that is no longer assigned
   * is ignored.
   */
  public List<RolloutEffect> onManifestRead(
      long now, String model, String version, Either<Failure, Manifest> read) {
    List<RolloutEffect> effects = new ArrayList<>();
    boolean expected =
        step == Step.READING_MANIFEST
            && assignment != null
            && assignment.model().equals(model)
            && assignment.version().equals(version);
    if (!expected || read.isLeft()) {
      return effects;
    }
    manifest = read.get();
    retryAtMillis = now;
    chunksComplete = false;
    step = Step.FETCHING;
    effects.add(new RolloutEffect.StartSwarm(manifest));
    effects.add(new RolloutEffect.Announce(openGeneration, manifest.digest()));
    openIfLoaded(effects);
    return effects;
  }

  /** Handles the completion of a fetch: all chunks of a version are held and verified. */
  public List<RolloutEffect> onFetchComplete(long now, String digest) {
    List<RolloutEffect> effects = new ArrayList<>();
    if (manifest != null && manifest.digest().equals(digest)) {
      chunksComplete = true;
      if (step == Step.FETCHING) {
        step = Step.WAITING_FOR_TURN;
      }
    }
    return effects;
  }

  /**
   * Handles a status report of the engine. The endpoint is closed if the engine no longer holds the
   * generation that it is open for, for example after a restart of the engine or a load command
   * from another client. A report is ignored if it is older than the last known load command, was
   * requested before the last known state or is too old by itself: responses may overtake each
   * other, and a report may wait while the agent is stopped.
   *
   * @param requestedAt time at which the report was requested
   * @param report state of the engine, or empty if the engine did not answer
   */
  public List<RolloutEffect> onEngineState(
      long now, long requestedAt, Optional<EngineState> report) {
    List<RolloutEffect> effects = new ArrayList<>();
    if (report.isEmpty()) {
      return effects;
    }
    EngineState previous = engine;
    boolean beforeLastLoad =
        previous != null
            && previous.incarnation().equals(report.get().incarnation())
            && report.get().fencingNumber() < previous.fencingNumber();
    if (beforeLastLoad || isOutdated(now, requestedAt)) {
      return effects;
    }
    engine = report.get();
    engineRequestedAt = requestedAt;
    boolean generationLost =
        !openGeneration.equals(Generation.NONE)
            && (!engine.manifest().equals(openGeneration.manifest())
                || engine.fencingNumber() > openGeneration.epoch());
    if (generationLost && step != Step.LOADING) {
      log(
          effects,
          "close",
          openGeneration.model(),
          "",
          "engine no longer serves the open generation; it reports manifest '"
              + engine.manifest()
              + "'");
      closeEndpoint(effects, manifest == null ? "" : manifest.digest());
      if (step == Step.IDLE && manifest != null) {
        step = chunksComplete ? Step.WAITING_FOR_TURN : Step.FETCHING;
      }
    }
    openIfLoaded(effects);
    return effects;
  }

  /**
   * Advances the rollout.
   *
   * @param drained whether the endpoint runs no request
   * @param maySwitch whether this agent may close its endpoint now, see {@link
   *     PlacementDecider#maySwitch}
   */
  public List<RolloutEffect> tick(long now, boolean drained, boolean maySwitch) {
    List<RolloutEffect> effects = new ArrayList<>();
    switch (step) {
      case READING_MANIFEST:
        if (now >= retryAtMillis) {
          requestManifest(now, effects);
        }
        break;
      case WAITING_FOR_TURN:
        boolean closed = openGeneration.equals(Generation.NONE);
        if (engine != null && now >= retryAtMillis && (closed || maySwitch)) {
          step = Step.DRAINING;
          log(
              effects,
              "switch",
              modelAndVersion(),
              self,
              closed ? "endpoint is closed already" : "rollout order permits the switch");
          if (!closed) {
            closeEndpoint(effects, manifest.digest());
          }
        }
        break;
      case DRAINING:
        if (drained && !loadInFlight) {
          step = Step.LOADING;
          loadInFlight = true;
          effects.add(new RolloutEffect.LoadVersion(manifest));
        }
        break;
      default:
        break;
    }
    return effects;
  }

  /**
   * Handles the fencing number of a load. The load is sent only if its version is still the
   * assigned one, because the rules may have changed while the number was obtained.
   *
   * @param wanted manifest of the version that was to be loaded when the number was requested
   */
  public List<RolloutEffect> onFencingNumber(long now, Manifest wanted, long fencingNumber) {
    List<RolloutEffect> effects = new ArrayList<>();
    if (step == Step.LOADING && manifest.digest().equals(wanted.digest())) {
      effects.add(new RolloutEffect.SendLoad(wanted, fencingNumber));
    } else {
      loadInFlight = false;
      log(
          effects,
          "load",
          wanted.model() + ":" + wanted.version(),
          "",
          "not sent, the version is no longer the assigned one");
    }
    return effects;
  }

  /**
   * Handles the outcome of a load command. The endpoint is opened if the engine reports the
   * manifest that it was to load; otherwise the load is retried after a delay.
   *
   * @param digest digest of the manifest that the engine was instructed to load
   * @param requestedAt time at which the state was requested
   * @param readBack state that the engine reported after the command, or why it is not known
   */
  public List<RolloutEffect> onLoadResult(
      long now, String digest, long requestedAt, Either<Failure, EngineState> readBack) {
    List<RolloutEffect> effects = new ArrayList<>();
    loadInFlight = false;
    boolean known = readBack.isRight() && !isOutdated(now, requestedAt);
    if (known) {
      engine = readBack.get();
      engineRequestedAt = requestedAt;
    }
    if (step != Step.LOADING) {
      return effects;
    }
    boolean current = manifest != null && manifest.digest().equals(digest);
    if (current && known && engine.manifest().equals(digest)) {
      openEndpoint(effects);
      return effects;
    }
    String reason =
        readBack.fold(
            Failure::message,
            state ->
                known
                    ? "engine reports another manifest than the one to load"
                    : "state of the engine read back was outdated when it arrived, ageMs="
                        + (now - requestedAt));
    log(effects, "load", modelAndVersion(), "", reason);
    retryAtMillis = now + LOAD_RETRY_MILLIS;
    step = chunksComplete ? Step.WAITING_FOR_TURN : Step.FETCHING;
    return effects;
  }

  private boolean isOutdated(long now, long requestedAt) {
    return requestedAt < engineRequestedAt || now - requestedAt > MAX_REPORT_AGE_MILLIS;
  }

  /** Opens the endpoint if it is closed and the engine has already loaded the assigned version. */
  private void openIfLoaded(List<RolloutEffect> effects) {
    boolean loaded =
        manifest != null
            && engine != null
            && engine.manifest().equals(manifest.digest())
            && openGeneration.equals(Generation.NONE)
            && !loadInFlight
            && (step == Step.FETCHING || step == Step.WAITING_FOR_TURN || step == Step.IDLE);
    if (loaded) {
      openEndpoint(effects);
    }
  }

  private void openEndpoint(List<RolloutEffect> effects) {
    openGeneration = new Generation(assignment.model(), engine.manifest(), engine.fencingNumber());
    step = Step.IDLE;
    effects.add(new RolloutEffect.OpenEndpoint(openGeneration));
    effects.add(new RolloutEffect.Announce(openGeneration, manifest.digest()));
    log(
        effects,
        "ready",
        modelAndVersion(),
        self,
        "engine confirmed the load with fencing number " + openGeneration.epoch());
  }

  private void closeEndpoint(List<RolloutEffect> effects, String wantedManifest) {
    openGeneration = Generation.NONE;
    effects.add(new RolloutEffect.CloseEndpoint());
    effects.add(new RolloutEffect.Announce(openGeneration, wantedManifest));
  }

  private void requestManifest(long now, List<RolloutEffect> effects) {
    step = Step.READING_MANIFEST;
    retryAtMillis = now + MANIFEST_RETRY_MILLIS;
    effects.add(new RolloutEffect.ReadManifest(assignment.model(), assignment.version()));
  }

  private String modelAndVersion() {
    return assignment == null ? "" : assignment.model() + ":" + assignment.version();
  }

  private void log(
      List<RolloutEffect> effects, String kind, String subject, String choice, String reason) {
    effects.add(
        new RolloutEffect.Log(
            new Decision(kind, subject, "", List.of(), choice, reason, rulesVersion)));
  }
}
