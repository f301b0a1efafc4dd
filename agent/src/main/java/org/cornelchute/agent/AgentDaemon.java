package org.cornelchute.agent;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.cli.Daemon;
import org.cornelchute.core.duty.DeciderDuty;
import org.cornelchute.core.duty.Duty;
import org.cornelchute.core.duty.Overflow;
import org.cornelchute.core.kernel.Kernel;
import org.cornelchute.core.log.DecisionLog;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.message.SwarmMessage;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.net.control.ControlListener;
import org.cornelchute.net.control.ControlPlane;
import org.cornelchute.net.control.ControlSettings;
import org.cornelchute.net.engine.EngineClient;
import org.cornelchute.net.frame.FrameListener;
import org.cornelchute.net.frame.FrameServer;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.http.OperatorServer;
import org.cornelchute.net.platform.OriginClient;
import org.cornelchute.net.platform.TableClient;
import org.cornelchute.net.util.ProcessGauges;
import org.cornelchute.policy.admission.AdmissionDecider;
import org.cornelchute.policy.admission.AdmissionEffect;
import org.cornelchute.policy.admission.AttemptKey;
import org.cornelchute.policy.placement.EngineState;
import org.cornelchute.policy.rules.Rules;
import reactor.core.Disposable;

/** Daemon of an agent; connects its admission, weights, rollout and control duties. */
public final class AgentDaemon implements Daemon {

  private static final int RING_CAPACITY = 1 << 14;
  private static final long TICK_INTERVAL_MILLIS = 20;
  private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

  private final AgentSettings settings;
  private final Kernel kernel = new Kernel();
  private final MetricRegistry metrics = new MetricRegistry();
  private final EngineClient engineClient;
  private final FrameServer frameServer;
  private final ControlPlane controlPlane;
  private final WeightsDuty weightsDuty;
  private final RolloutDuty rolloutDuty;
  private final DeciderDuty<AdmissionDecider, AdmissionEffect> admissionDuty;
  private final Map<AttemptKey, Disposable> inFlightByAttempt = new ConcurrentHashMap<>();
  private final Runnable onDrainRequest;

  /** Whether the endpoint is closed and no request is running or queued. */
  private volatile boolean endpointDrained = true;

  private volatile boolean admissionIdle = true;
  private volatile boolean draining;
  private volatile Load load;

  /**
   * Creates an agent; {@link #start()} opens its sockets.
   *
   * @param settings settings of the agent
   * @param boot incarnation of the process: its start time in milliseconds since the epoch
   * @param fatal called if a duty fails with an unexpected exception
   * @param onDrainRequest called when an operator requests that the agent leaves
   */
  public AgentDaemon(
      AgentSettings settings, long boot, Duty.FatalHandler fatal, Runnable onDrainRequest) {
    this.settings = settings;
    this.onDrainRequest = onDrainRequest;
    ControlSettings memberSettings = settings.member();
    final LongSupplier clockMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    final MessageCodec codec = new MessageCodec();
    final TableClient table = new TableClient(memberSettings.platform());
    this.engineClient = new EngineClient(settings.endpoint());
    AdmissionDecider decider =
        new AdmissionDecider(
            memberSettings.id(), boot, settings.isEngine(), settings.admissionOptions());
    this.load = decider.load();
    this.admissionDuty =
        new DeciderDuty<>(
            new DeciderDuty.Options(
                "admission", RING_CAPACITY, Overflow.WAIT, TICK_INTERVAL_MILLIS),
            decider,
            this::tick,
            this::execute,
            clockMillis,
            metrics,
            fatal);
    final OriginClient origin = new OriginClient(settings.origin());
    this.rolloutDuty =
        new RolloutDuty(
            memberSettings.id(),
            origin,
            engineClient,
            new FenceCounter(table, memberSettings.id()),
            new EndpointControl(),
            () -> endpointDrained,
            clockMillis,
            metrics,
            fatal);
    WeightsDuty.Options weightsOptions =
        new WeightsDuty.Options(
            memberSettings.id(),
            memberSettings.region(),
            settings::originRegion,
            settings.linkBytesPerSecond(),
            false,
            settings.swarmOptions(),
            false);
    this.weightsDuty =
        new WeightsDuty(
            weightsOptions,
            codec,
            (manifest, chunk, callback) ->
                origin.fetchChunk(manifest.chunks().get(chunk)).subscribe(callback::accept),
            clockMillis,
            boot,
            rolloutDuty,
            metrics,
            fatal);
    rolloutDuty.setWeightsDuty(weightsDuty);
    Member self =
        new Member(
            memberSettings.id(),
            Role.AGENT,
            memberSettings.address(),
            memberSettings.region(),
            memberSettings.domain(),
            settings.service(),
            boot,
            1,
            false,
            Generation.NONE,
            "");
    this.controlPlane =
        new ControlPlane(
            memberSettings,
            self,
            table,
            codec,
            new ControlEventForwarder(),
            clockMillis,
            boot,
            metrics,
            fatal);
    this.frameServer =
        new FrameServer(
            memberSettings.host(), memberSettings.port(), codec, new FrameDispatcher(), metrics);
    metrics.register("requests.running", (Gauge<Integer>) () -> load.running());
    metrics.register("requests.queued", (Gauge<Integer>) () -> load.queued());
    metrics.register("admission.limit", (Gauge<Integer>) () -> load.limit());
    ProcessGauges.register(metrics);
  }

  /** Starts all duties and opens all sockets. */
  @Override
  public void start() {
    kernel.register("admission", admissionDuty);
    kernel.register("frames", frameServer);
    kernel.register("control", controlPlane);
    if (settings.isEngine()) {
      kernel.register("weights", weightsDuty);
      kernel.register("rollout", rolloutDuty);
    } else {
      admissionDuty.offer((d, now) -> d.setServing(now, true, Generation.NONE));
    }
    kernel.register(
        "operators",
        new OperatorServer(
            settings.member().host(),
            settings.member().operatorPort(),
            metrics,
            () -> !draining,
            Map.of(
                "/members",
                controlPlane::memberSnapshot,
                "/rules",
                controlPlane::rulesText,
                "/load",
                () -> load),
            onDrainRequest));
  }

  /**
   * Announces that the agent leaves, stops accepting requests and waits up to {@code drainMillis}
   * for those in flight.
   *
   * @return whether all requests ended in time
   */
  @Override
  public boolean drain() {
    draining = true;
    controlPlane.leave();
    admissionDuty.offer((d, now) -> d.leave(now));
    long drainDeadlineNanos =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.drainMillis());
    sleep(2 * TICK_INTERVAL_MILLIS);
    while (!admissionIdle && System.nanoTime() - drainDeadlineNanos < 0) {
      sleep(DRAIN_POLL_INTERVAL_MILLIS);
    }
    // Frames written last must be sent before the connections are closed.
    sleep(2 * DRAIN_POLL_INTERVAL_MILLIS);
    return admissionIdle;
  }

  @Override
  public void close() {
    kernel.close();
  }

  private List<AdmissionEffect> tick(AdmissionDecider decider, long now) {
    final List<AdmissionEffect> effects = decider.tick(now);
    load = decider.load();
    admissionIdle = decider.isIdle();
    endpointDrained = admissionIdle && !load.ready();
    return effects;
  }

  private void execute(AdmissionEffect effect) {
    if (effect instanceof AdmissionEffect.Reply reply) {
      frameServer.send(reply.connection(), reply.message());
    } else if (effect instanceof AdmissionEffect.Forward forward) {
      metrics.meter("requests.forwarded").mark();
      inFlightByAttempt.put(
          forward.key(),
          engineClient.forward(
              forward.dispatch(), new AnswerForwarder(forward.key(), forward.dispatch())));
    } else if (effect instanceof AdmissionEffect.Abort abort) {
      Disposable request = inFlightByAttempt.remove(abort.key());
      if (request != null) {
        request.dispose();
      }
    } else if (effect instanceof AdmissionEffect.BroadcastLoad broadcast) {
      frameServer.broadcast(
          new ControlMessage.LoadReport(settings.member().id(), broadcast.load()));
    } else if (effect instanceof AdmissionEffect.RecheckEndpoint) {
      rolloutDuty.recheckEngine();
    } else if (effect instanceof AdmissionEffect.Log log) {
      DecisionLog.write(log.decision());
    }
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Passes the events of one answer of the endpoint to the admission duty. */
  private final class AnswerForwarder implements EngineClient.AnswerListener {

    private final AttemptKey key;
    private final ServingMessage.Dispatch dispatch;
    private int partCount;

    AnswerForwarder(AttemptKey key, ServingMessage.Dispatch dispatch) {
      this.key = key;
      this.dispatch = dispatch;
    }

    @Override
    public void onHead(int status, String contentType, String manifest) {
      admissionDuty.offer((d, now) -> d.onAnswerHead(now, key, status, contentType, manifest));
    }

    @Override
    public void onPart(byte[] bytes) {
      partCount++;
      admissionDuty.offer((d, now) -> d.onAnswerPart(now, key, bytes));
    }

    @Override
    public void onEnd() {
      inFlightByAttempt.remove(key);
      int tokens = dispatch.stream() ? partCount : dispatch.cost();
      admissionDuty.offer((d, now) -> d.onAnswerEnd(now, key, true, tokens));
    }

    @Override
    public void onFailure(boolean connectionRefused) {
      inFlightByAttempt.remove(key);
      if (connectionRefused) {
        admissionDuty.offer((d, now) -> d.onEndpointConnectionRefused(now, key));
      } else {
        int tokens = partCount;
        admissionDuty.offer((d, now) -> d.onAnswerEnd(now, key, false, tokens));
      }
    }
  }

  /** Passes messages from entries and other agents to the duties. */
  private final class FrameDispatcher implements FrameListener {

    @Override
    public void onMessage(long connection, String from, Message message) {
      if (message instanceof ServingMessage.Dispatch dispatch) {
        admissionDuty.offer((d, now) -> d.onDispatch(now, connection, dispatch));
      } else if (message instanceof ServingMessage.Cancel cancel) {
        admissionDuty.offer((d, now) -> d.onCancel(now, cancel));
      } else if (message instanceof ServingMessage.Seal seal) {
        admissionDuty.offer((d, now) -> d.onSeal(now, connection, seal));
      } else if (message instanceof ControlMessage.LoadRequest) {
        admissionDuty.offer((d, now) -> d.onLoadRequest(connection));
      } else if (message instanceof SwarmMessage swarmMessage) {
        weightsDuty.onMessage(from, swarmMessage);
      } else if (message instanceof ControlMessage) {
        controlPlane.answer(message).ifPresent(reply -> frameServer.send(connection, reply));
      }
    }

    @Override
    public void onConnectionClosed(long connection, String from) {
      admissionDuty.offer((d, now) -> d.onEntryConnectionLost(now, connection));
    }
  }

  /** Passes changes of members and rules to the duties. */
  private final class ControlEventForwarder implements ControlListener {

    @Override
    public void onMemberChange(Member member, Health health) {}

    @Override
    public void onRulesAdopted(Rules rules) {
      boolean domainOut = rules.isDomainOut(rules.resolve(settings.member().domain()));
      admissionDuty.offer((d, now) -> d.setRules(now, rules, domainOut));
      if (settings.isEngine()) {
        rolloutDuty.setRules(rules);
      }
    }

    @Override
    public void onViewRefresh(Collection<Member> members, Set<String> unreachableRegions) {
      if (settings.isEngine()) {
        rolloutDuty.updateMembers(members, unreachableRegions);
      }
    }
  }

  /** Applies the changes that the rollout duty makes to the admission and control duties. */
  private final class EndpointControl implements RolloutDuty.Control {

    @Override
    public void setServing(boolean ready, Generation generation) {
      if (!ready) {
        endpointDrained = false;
      }
      admissionDuty.offer((d, now) -> d.setServing(now, ready, generation));
    }

    @Override
    public void announce(Generation generation, String wantedManifest) {
      controlPlane.announce(member -> member.withGeneration(generation, wantedManifest));
    }

    @Override
    public void onEngineState(EngineState state) {
      admissionDuty.offer(
          (d, now) -> d.onEndpointStatus(now, state.incarnation(), state.capacity()));
    }
  }
}
