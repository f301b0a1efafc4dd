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

/** The duty that brings the engine to what the rules assign to it; the only sender of orders. */
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
  private String wantedDigest = "";
  private long nextStatusAt;
  private volatile EngineState lastEngineState = new EngineState("", "", "", 0, 0);

  RolloutDuty(
      String self,
      OriginClient origin,
      EngineClient engine,
      FenceCounter fences,
      Control control,
      BooleanSupplier drained,
      LongSupplier clock,
      MetricRegistry metrics,
      Duty.FatalHandler fatal) {
    this.originClient = origin;
    this.engineClient = engine;
    this.fenceCounter = fences;
    this.control = control;
    this.endpointDrained = drained;
    this.clockMillis = clock;
    this.placement = new PlacementDecider(self);
    this.duty =
        new DeciderDuty<>(
            new DeciderDuty.Options("rollout", RING_CAPACITY, Overflow.WAIT, TICK_INTERVAL_MILLIS),
            new RolloutDecider(self),
            this::tick,
            this::execute,
            clock,
            metrics,
            fatal);
  }

  /** Names the duty that fetches weights; called once, before the start. */
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

  /** Takes new rules. */
  void setRules(Rules adopted) {
    duty.offer(
        (d, now) -> {
          rules = adopted;
          return updateAssignment(d, now);
        });
  }

  /** Takes the members. */
  void updateMembers(Collection<Member> view, Set<String> lostRegions) {
    duty.offer(
        (d, now) -> {
          members = view;
          unreachableRegions = lostRegions;
          return updateAssignment(d, now);
        });
  }

  /** Looks at the engine at the next tick. */
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

  private List<RolloutEffect> updateAssignment(RolloutDecider d, long now) {
    if (rules.version() == 0) {
      return List.of();
    }
    Optional<Assignment> own = placement.recompute(now, rules, members, unreachableRegions);
    weightsDuty.updateMembers(members, placement.membersWithSameVersion());
    return d.onAssignment(now, own, rules.version());
  }

  private List<RolloutEffect> tick(RolloutDecider d, long now) {
    if (now >= nextStatusAt) {
      nextStatusAt = now + STATUS_INTERVAL_MILLIS;
      engineClient.fetchStatus().subscribe(this::handleEngineStatus);
    }
    return d.tick(now, endpointDrained.getAsBoolean(), placement.maySwitch(wantedDigest, members));
  }

  private void handleEngineStatus(Either<Failure, EngineState> state) {
    duty.offer((d, now) -> d.onEngineState(now, state.toJavaOptional()));
    if (state.isRight()) {
      lastEngineState = state.get();
      control.onEngineState(state.get());
    }
  }

  private void execute(RolloutEffect e) {
    if (e instanceof RolloutEffect.ReadManifest r) {
      originClient
          .fetchManifest(r.model(), r.version())
          .subscribe(m -> duty.offer((d, now) -> d.onManifestRead(now, r.model(), r.version(), m)));
    } else if (e instanceof RolloutEffect.StartSwarm s) {
      wantedDigest = s.manifest().digest();
      weightsDuty.startFetch(s.manifest());
    } else if (e instanceof RolloutEffect.CloseEndpoint) {
      control.setServing(false, Generation.NONE);
    } else if (e instanceof RolloutEffect.OpenEndpoint o) {
      control.setServing(true, o.generation());
    } else if (e instanceof RolloutEffect.Announce a) {
      control.announce(a.generation(), a.wantedManifest());
    } else if (e instanceof RolloutEffect.LoadVersion l) {
      fenceCounter
          .next(lastEngineState.fencingNumber())
          .subscribe(
              fence ->
                  weightsDuty.withCompleteVersion(
                      l.manifest().digest(), c -> startLoad(l, fence, c)));
    } else if (e instanceof RolloutEffect.Log l) {
      DecisionLog.write(l.decision());
    }
  }

  private void startLoad(RolloutEffect.LoadVersion l, long fence, List<byte[]> chunks) {
    LOG.info("ordering load of {} with fencing number {}", l.manifest().version(), fence);
    engineClient
        .load(l.manifest(), fence, chunks)
        .subscribe(r -> duty.offer((d, now) -> d.onLoadResult(now, l.manifest().digest(), r)));
  }

  /** What the duty changes outside itself; must not block. */
  interface Control {

    /** Opens or closes the endpoint. */
    void setServing(boolean ready, Generation generation);

    /** Tells other members what this agent serves and wants. */
    void announce(Generation generation, String wants);

    /** Reports a look at the engine. */
    void onEngineState(EngineState state);
  }
}
