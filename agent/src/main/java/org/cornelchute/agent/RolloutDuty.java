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
  private static final int RING = 1_024;
  private static final long TICK_MILLIS = 50;
  private static final long STATUS_MILLIS = 200;

  private final OriginClient origin;
  private final EngineClient engine;
  private final FenceCounter fences;
  private final PlacementDecider placement;
  private final Control control;
  private final DeciderDuty<RolloutDecider, RolloutEffect> duty;
  private final BooleanSupplier drained;
  private final LongSupplier clock;
  private WeightsDuty weights;
  private Rules rules = Rules.NONE;
  private Collection<Member> members = List.of();
  private Set<String> unreachable = Set.of();
  private String wanted = "";
  private long nextStatus;
  private volatile EngineState lastSeen = new EngineState("", "", "", 0, 0);

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
    this.origin = origin;
    this.engine = engine;
    this.fences = fences;
    this.control = control;
    this.drained = drained;
    this.clock = clock;
    this.placement = new PlacementDecider(self);
    this.duty =
        new DeciderDuty<>(
            new DeciderDuty.Options("rollout", RING, Overflow.WAIT, TICK_MILLIS),
            new RolloutDecider(self),
            this::tick,
            this::execute,
            clock,
            metrics,
            fatal);
  }

  /** Names the duty that fetches weights; called once, before the start. */
  void connect(WeightsDuty duty) {
    this.weights = duty;
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
  void rules(Rules adopted) {
    duty.offer(
        (d, now) -> {
          rules = adopted;
          return decide(d, now);
        });
  }

  /** Takes the members. */
  void viewed(Collection<Member> view, Set<String> lostRegions) {
    duty.offer(
        (d, now) -> {
          members = view;
          unreachable = lostRegions;
          return decide(d, now);
        });
  }

  /** Looks at the engine at the next tick. */
  void recheck() {
    duty.offer(
        (d, now) -> {
          nextStatus = now;
          return List.of();
        });
  }

  @Override
  public void complete(Manifest manifest) {
    duty.offer((d, now) -> d.onFetchComplete(now, manifest.digest()));
  }

  private List<RolloutEffect> decide(RolloutDecider d, long now) {
    if (rules.version() == 0) {
      return List.of();
    }
    Optional<Assignment> own = placement.recompute(now, rules, members, unreachable);
    weights.viewed(members, placement.membersWithSameVersion());
    return d.onAssignment(now, own, rules.version());
  }

  private List<RolloutEffect> tick(RolloutDecider d, long now) {
    if (now >= nextStatus) {
      nextStatus = now + STATUS_MILLIS;
      engine.status().subscribe(this::seen);
    }
    return d.tick(now, drained.getAsBoolean(), placement.maySwitch(wanted, members));
  }

  private void seen(Either<Failure, EngineState> state) {
    duty.offer((d, now) -> d.onEngineState(now, state.toJavaOptional()));
    if (state.isRight()) {
      lastSeen = state.get();
      control.observed(state.get());
    }
  }

  private void execute(RolloutEffect e) {
    if (e instanceof RolloutEffect.ReadManifest r) {
      origin
          .manifest(r.model(), r.version())
          .subscribe(m -> duty.offer((d, now) -> d.onManifestRead(now, r.model(), r.version(), m)));
    } else if (e instanceof RolloutEffect.StartSwarm s) {
      wanted = s.manifest().digest();
      weights.begin(s.manifest());
    } else if (e instanceof RolloutEffect.CloseEndpoint) {
      control.serving(false, Generation.NONE);
    } else if (e instanceof RolloutEffect.OpenEndpoint o) {
      control.serving(true, o.generation());
    } else if (e instanceof RolloutEffect.Announce a) {
      control.announce(a.generation(), a.wantedManifest());
    } else if (e instanceof RolloutEffect.LoadVersion l) {
      fences
          .next(lastSeen.fencingNumber())
          .subscribe(fence -> weights.withWhole(l.manifest().digest(), c -> load(l, fence, c)));
    } else if (e instanceof RolloutEffect.Log l) {
      DecisionLog.write(l.decision());
    }
  }

  private void load(RolloutEffect.LoadVersion l, long fence, List<byte[]> chunks) {
    LOG.info("ordering load of {} with fencing number {}", l.manifest().version(), fence);
    engine
        .load(l.manifest(), fence, chunks)
        .subscribe(r -> duty.offer((d, now) -> d.onLoadResult(now, l.manifest().digest(), r)));
  }

  /** What the duty changes outside itself; must not block. */
  interface Control {

    /** Opens or closes the endpoint. */
    void serving(boolean ready, Generation generation);

    /** Tells other members what this agent serves and wants. */
    void announce(Generation generation, String wants);

    /** Reports a look at the engine. */
    void observed(EngineState state);
  }
}
