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

/** Wires the duties of an agent: admission, weights, rollout and control. */
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
  private volatile boolean endpointDrained = true;
  private volatile boolean admissionIdle = true;
  private volatile boolean draining;
  private volatile Load load;

  /**
   * Creates an agent; {@link #start()} opens its sockets.
   *
   * @param settings checked settings
   * @param boot incarnation of the process
   * @param fatal receives broken invariants
   * @param onLeave what the operator's order to leave starts
   */
  public AgentDaemon(AgentSettings settings, long boot, Duty.FatalHandler fatal, Runnable onLeave) {
    this.settings = settings;
    this.onDrainRequest = onLeave;
    ControlSettings who = settings.member();
    final LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    final MessageCodec codec = new MessageCodec();
    final TableClient table = new TableClient(who.platform());
    this.engineClient = new EngineClient(settings.endpoint());
    AdmissionDecider decider =
        new AdmissionDecider(who.id(), boot, settings.isEngine(), settings.admissionOptions());
    this.load = decider.load();
    this.admissionDuty =
        new DeciderDuty<>(
            new DeciderDuty.Options(
                "admission", RING_CAPACITY, Overflow.WAIT, TICK_INTERVAL_MILLIS),
            decider,
            this::tick,
            this::execute,
            clock,
            metrics,
            fatal);
    final OriginClient origin = new OriginClient(settings.origin());
    this.rolloutDuty =
        new RolloutDuty(
            who.id(),
            origin,
            engineClient,
            new FenceCounter(table, who.id()),
            new EndpointControl(),
            () -> endpointDrained,
            clock,
            metrics,
            fatal);
    WeightsDuty.Options place =
        new WeightsDuty.Options(
            who.id(),
            who.region(),
            settings::originRegion,
            settings.linkBytesPerSecond(),
            false,
            settings.swarmOptions(),
            false);
    this.weightsDuty =
        new WeightsDuty(
            place,
            codec,
            (m, chunk, answer) ->
                origin.fetchChunk(m.chunks().get(chunk)).subscribe(answer::accept),
            clock,
            boot,
            rolloutDuty,
            metrics,
            fatal);
    rolloutDuty.setWeightsDuty(weightsDuty);
    Member self =
        new Member(
            who.id(),
            Role.AGENT,
            who.address(),
            who.region(),
            who.domain(),
            settings.service(),
            boot,
            1,
            false,
            Generation.NONE,
            "");
    this.controlPlane =
        new ControlPlane(
            who, self, table, codec, new ControlEventForwarder(), clock, boot, metrics, fatal);
    this.frameServer =
        new FrameServer(who.host(), who.port(), codec, new FrameDispatcher(), metrics);
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
   * Leaves without cutting off a request: says goodbye, takes nothing new, ends what runs.
   *
   * @return whether everything ended in time
   */
  @Override
  public boolean drain() {
    draining = true;
    controlPlane.leave();
    admissionDuty.offer((d, now) -> d.leave(now));
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.drainMillis());
    sleep(2 * TICK_INTERVAL_MILLIS);
    while (!admissionIdle && System.nanoTime() - until < 0) {
      sleep(DRAIN_POLL_INTERVAL_MILLIS);
    }
    // What was written last must leave the process before its connections close.
    sleep(2 * DRAIN_POLL_INTERVAL_MILLIS);
    return admissionIdle;
  }

  @Override
  public void close() {
    kernel.close();
  }

  private List<AdmissionEffect> tick(AdmissionDecider d, long now) {
    final List<AdmissionEffect> effects = d.tick(now);
    load = d.load();
    admissionIdle = d.isIdle();
    endpointDrained = admissionIdle && !load.ready();
    return effects;
  }

  private void execute(AdmissionEffect e) {
    if (e instanceof AdmissionEffect.Reply r) {
      frameServer.send(r.connection(), r.message());
    } else if (e instanceof AdmissionEffect.Forward f) {
      metrics.meter("requests.forwarded").mark();
      inFlightByAttempt.put(
          f.key(), engineClient.forward(f.dispatch(), new AnswerForwarder(f.key(), f.dispatch())));
    } else if (e instanceof AdmissionEffect.Abort a) {
      Disposable open = inFlightByAttempt.remove(a.key());
      if (open != null) {
        open.dispose();
      }
    } else if (e instanceof AdmissionEffect.BroadcastLoad b) {
      frameServer.broadcast(new ControlMessage.LoadReport(settings.member().id(), b.load()));
    } else if (e instanceof AdmissionEffect.RecheckEndpoint) {
      rolloutDuty.recheckEngine();
    } else if (e instanceof AdmissionEffect.Log l) {
      DecisionLog.write(l.decision());
    }
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Hands one answer of the endpoint to the admission duty. */
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
    public void onFailure(boolean refused) {
      inFlightByAttempt.remove(key);
      if (refused) {
        admissionDuty.offer((d, now) -> d.onEndpointConnectionRefused(now, key));
      } else {
        int tokens = partCount;
        admissionDuty.offer((d, now) -> d.onAnswerEnd(now, key, false, tokens));
      }
    }
  }

  /** Hands frames from entries and agents to the duties. */
  private final class FrameDispatcher implements FrameListener {

    @Override
    public void onMessage(long connection, String from, Message message) {
      if (message instanceof ServingMessage.Dispatch m) {
        admissionDuty.offer((d, now) -> d.onDispatch(now, connection, m));
      } else if (message instanceof ServingMessage.Cancel m) {
        admissionDuty.offer((d, now) -> d.onCancel(now, m));
      } else if (message instanceof ServingMessage.Seal m) {
        admissionDuty.offer((d, now) -> d.onSeal(now, connection, m));
      } else if (message instanceof ControlMessage.LoadRequest) {
        admissionDuty.offer((d, now) -> d.onLoadRequest(connection));
      } else if (message instanceof SwarmMessage m) {
        weightsDuty.onMessage(from, m);
      } else if (message instanceof ControlMessage) {
        controlPlane.answer(message).ifPresent(a -> frameServer.send(connection, a));
      }
    }

    @Override
    public void onConnectionClosed(long connection, String from) {
      admissionDuty.offer((d, now) -> d.onEntryConnectionLost(now, connection));
    }
  }

  /** Hands views of members and rules to the duties. */
  private final class ControlEventForwarder implements ControlListener {

    @Override
    public void onMemberChange(Member member, Health health) {}

    @Override
    public void onRulesAdopted(Rules rules) {
      boolean out = rules.isDomainOut(rules.resolve(settings.member().domain()));
      admissionDuty.offer((d, now) -> d.setRules(now, rules, out));
      if (settings.isEngine()) {
        rolloutDuty.setRules(rules);
      }
    }

    @Override
    public void onViewRefresh(Collection<Member> members, Set<String> unreachable) {
      if (settings.isEngine()) {
        rolloutDuty.updateMembers(members, unreachable);
      }
    }
  }

  /** Lets the rollout open and close the endpoint. */
  private final class EndpointControl implements RolloutDuty.Control {

    @Override
    public void setServing(boolean ready, Generation generation) {
      if (!ready) {
        endpointDrained = false;
      }
      admissionDuty.offer((d, now) -> d.setServing(now, ready, generation));
    }

    @Override
    public void announce(Generation generation, String wants) {
      controlPlane.announce(m -> m.withGeneration(generation, wants));
    }

    @Override
    public void onEngineState(EngineState state) {
      admissionDuty.offer(
          (d, now) -> d.onEndpointStatus(now, state.incarnation(), state.capacity()));
    }
  }
}
