package org.cornelchute.agent;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.cornelchute.core.duty.DeciderDuty;
import org.cornelchute.core.duty.Duty;
import org.cornelchute.core.duty.Overflow;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.core.log.DecisionLog;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.engine.EngineClient;
import org.cornelchute.net.platform.OriginClient;
import org.cornelchute.policy.placement.Assignment;
import org.cornelchute.policy.placement.EngineState;
import org.cornelchute.policy.placement.PlacementDecider;
import org.cornelchute.policy.placement.RolloutDecider;
import org.cornelchute.policy.placement.RolloutEffect;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.weights.Manifest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Duty that has the engine load the version that the rules assign to it.
 *
 * <p>No other component sends load commands to the engine.
 */
final class RolloutDuty implements Service, WeightsDuty.Listener {

  private static final Logger LOG = LoggerFactory.getLogger(RolloutDuty.class);
  private static final int RING_CAPACITY = 1_024;
  private static final long TICK_INTERVAL_MILLIS = 50;
  private static final long STATUS_INTERVAL_MILLIS = 200;

  private final OriginClient originClient;
  private final EngineClient engineClient;
  private final FenceCounter fenceCounter;
  private final PlacementDecider placement;
  private final Control control;
  private final DeciderDuty<RolloutDecider, RolloutEffect> duty;
  private final BooleanSupplier endpointDrained;
  private final LongSupplier clockMillis;
  private WeightsDuty weightsDuty;
  private Rules rules = Rules.NONE;
  private Collection<Member> members = List.of();
  private Set<String> unreachableRegions = Set.of();

  /** Digest of the manifest of the version that the agent fetches or holds, empty if none. */
  private String wantedDigest = "";

  private long nextStatusAt;
  private volatile EngineState lastEngineState = new EngineState("", "", "", 0, 0);

  RolloutDuty(
      String self,
      OriginClient originClient,
      EngineClient engineClient,
      FenceCounter fenceCounter,
      Control control,
      BooleanSupplier endpointDrained,
      LongSupplier clockMillis,
      MetricRegistry metrics,
      Duty.FatalHandler fatal) {
    this.originClient = originClient;
    this.engineClient = engineClient;
    this.fenceCounter = fenceCounter;
    this.control = control;
    this.endpointDrained = endpointDrained;
    this.clockMillis = clockMillis;
    this.placement = new PlacementDecider(self);
    this.duty =
        new DeciderDuty<>(
            new DeciderDuty.Options("rollout", RING_CAPACITY, Overflow.WAIT, TICK_INTERVAL_MILLIS),
            new RolloutDecider(self),
            this::tick,
            this::execute,
            clockMillis,
            metrics,
            fatal);
  }

  /** Sets the duty that fetches chunks; must be called once, before {@link #start()}. */
  void setWeightsDuty(WeightsDuty duty) {
    this.weightsDuty = duty;
  }

  @Override
  public void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
  }

  /** Sets the rules in force. */
  void setRules(Rules newRules) {
    duty.offer(
        (d, now) -> {
          rules = newRules;
          return updateAssignment(d, now);
        });
  }

  /**
   * Updates the members.
   *
   * @param newMembers members that are alive or suspected
   * @param newUnreachableRegions regions that cannot be reached
   */
  void updateMembers(Collection<Member> newMembers, Set<String> newUnreachableRegions) {
    duty.offer(
        (d, now) -> {
          members = newMembers;
          unreachableRegions = newUnreachableRegions;
          return updateAssignment(d, now);
        });
  }

  /** Queries the engine's status at the next tick. */
  void recheckEngine() {
    duty.offer(
        (d, now) -> {
          nextStatusAt = now;
          return List.of();
        });
  }

  @Override
  public void onVersionComplete(Manifest manifest) {
    duty.offer((d, now) -> d.onFetchComplete(now, manifest.digest()));
  }

  private List<RolloutEffect> updateAssignment(RolloutDecider decider, long now) {
    if (rules.version() == 0) {
      return List.of();
    }
    Optional<Assignment> assignment = placement.recompute(now, rules, members, unreachableRegions);
    weightsDuty.updateMembers(members, placement.membersWithSameVersion());
    return decider.onAssignment(now, assignment, rules.version());
  }

  private List<RolloutEffect> tick(RolloutDecider decider, long now) {
    if (now >= nextStatusAt) {
      nextStatusAt = now + STATUS_INTERVAL_MILLIS;
      engineClient.fetchStatus().subscribe(status -> handleEngineStatus(now, status));
    }
    return decider.tick(
        now, endpointDrained.getAsBoolean(), placement.maySwitch(wantedDigest, members));
  }

  private void handleEngineStatus(long requestedAt, Either<Failure, EngineState> status) {
    duty.offer((d, now) -> d.onEngineState(now, requestedAt, status.toJavaOptional()));
    if (status.isRight()) {
      lastEngineState = status.get();
      control.onEngineState(status.get());
    }
  }

  private void execute(RolloutEffect effect) {
    if (effect instanceof RolloutEffect.ReadManifest read) {
      originClient
          .fetchManifest(read.model(), read.version())
          .subscribe(
              result ->
                  duty.offer(
                      (d, now) -> d.onManifestRead(now, read.model(), read.version(), result)));
    } else if (effect instanceof RolloutEffect.StartSwarm start) {
      wantedDigest = start.manifest().digest();
      weightsDuty.startFetch(start.manifest());
    } else if (effect instanceof RolloutEffect.CloseEndpoint) {
      control.setServing(false, Generation.NONE);
    } else if (effect instanceof RolloutEffect.OpenEndpoint open) {
      control.setServing(true, open.generation());
    } else if (effect instanceof RolloutEffect.Announce announcement) {
      control.announce(announcement.generation(), announcement.wantedManifest());
    } else if (effect instanceof RolloutEffect.LoadVersion load) {
      fenceCounter
          .next(lastEngineState.fencingNumber())
          .subscribe(
              number -> duty.offer((d, now) -> d.onFencingNumber(now, load.manifest(), number)));
    } else if (effect instanceof RolloutEffect.SendLoad load) {
      weightsDuty.withCompleteVersion(
          load.manifest().digest(),
          chunks -> startLoad(load, chunks),
          () -> handleMissingChunks(load));
    } else if (effect instanceof RolloutEffect.Log log) {
      DecisionLog.write(log.decision());
    }
  }

  private void startLoad(RolloutEffect.SendLoad load, List<byte[]> chunks) {
    LOG.info(
        "commanding the engine to load version {} with fencing number {}",
        load.manifest().version(),
        load.fencingNumber());
    engineClient
        .load(load.manifest(), load.fencingNumber(), chunks)
        .subscribe(
            result -> {
              if (result.isRight()) {
                readBack(load);
              } else {
                handleLoadFailure(load, result.getLeft());
              }
            });
  }

  /** Reads the state of the engine after a load. */
  private void readBack(RolloutEffect.SendLoad load) {
    long requestedAt = clockMillis.getAsLong();
    engineClient
        .fetchStatus()
        .subscribe(
            state ->
                duty.offer(
                    (d, now) -> d.onLoadResult(now, load.manifest().digest(), requestedAt, state)));
  }

  private void handleMissingChunks(RolloutEffect.SendLoad load) {
    handleLoadFailure(load, Failure.unavailable("chunks of the version are no longer held"));
  }

  private void handleLoadFailure(RolloutEffect.SendLoad load, Failure failure) {
    duty.offer(
        (d, now) -> d.onLoadResult(now, load.manifest().digest(), now, Either.left(failure)));
  }

  /** Changes that the duty makes in other parts of the agent; must not block. */
  interface Control {

    /** Opens the endpoint for a generation, or closes it. */
    void setServing(boolean ready, Generation generation);

    /**
     * Announces to other members what this agent serves and fetches.
     *
     * @param wantedManifest digest of the manifest of the assigned version, or empty
     */
    void announce(Generation generation, String wantedManifest);

    /** Reports the state that the engine returned. */
    void onEngineState(EngineState state);
  }
}
