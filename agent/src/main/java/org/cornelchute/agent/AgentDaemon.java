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

  private static final int RING = 1 << 14;
  private static final long TICK_MILLIS = 20;
  private static final long POLL_MILLIS = 20;

  private final AgentSettings settings;
  private final Kernel kernel = new Kernel();
  private final MetricRegistry metrics = new MetricRegistry();
  private final EngineClient engine;
  private final FrameServer server;
  private final ControlPlane control;
  private final WeightsDuty weights;
  private final RolloutDuty rollout;
  private final DeciderDuty<AdmissionDecider, AdmissionEffect> admission;
  private final Map<AttemptKey, Disposable> forwarded = new ConcurrentHashMap<>();
  private final Runnable onLeave;
  private volatile boolean drained = true;
  private volatile boolean idle = true;
  private volatile boolean leaving;
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
    this.onLeave = onLeave;
    ControlSettings who = settings.member();
    final LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    final MessageCodec codec = new MessageCodec();
    final TableClient table = new TableClient(who.platform());
    this.engine = new EngineClient(settings.endpoint());
    AdmissionDecider decider =
        new AdmissionDecider(who.id(), boot, settings.isEngine(), settings.admission());
    this.load = decider.load();
    this.admission =
        new DeciderDuty<>(
            new DeciderDuty.Options("admission", RING, Overflow.WAIT, TICK_MILLIS),
            decider,
            this::tick,
            this::execute,
            clock,
            metrics,
            fatal);
    final OriginClient origin = new OriginClient(settings.origin());
    this.rollout =
        new RolloutDuty(
            who.id(),
            origin,
            engine,
            new FenceCounter(table, who.id()),
            new EndpointControl(),
            () -> drained,
            clock,
            metrics,
            fatal);
    WeightsDuty.Place place =
        new WeightsDuty.Place(
            who.id(),
            who.region(),
            settings::originRegion,
            settings.linkBytesPerSecond(),
            false,
            settings.swarm(),
            false);
    this.weights =
        new WeightsDuty(
            place,
            codec,
            (m, chunk, answer) -> origin.chunk(m.chunks().get(chunk)).subscribe(answer::accept),
            clock,
            boot,
            rollout,
            metrics,
            fatal);
    rollout.connect(weights);
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
    this.control =
        new ControlPlane(who, self, table, codec, new Views(), clock, boot, metrics, fatal);
    this.server = new FrameServer(who.host(), who.port(), codec, new Frames(), metrics);
    metrics.register("requests.running", (Gauge<Integer>) () -> load.running());
    metrics.register("requests.queued", (Gauge<Integer>) () -> load.queued());
    metrics.register("admission.limit", (Gauge<Integer>) () -> load.limit());
    ProcessGauges.register(metrics);
  }

  /** Starts all duties and opens all sockets. */
  @Override
  public void start() {
    kernel.register("admission", admission);
    kernel.register("frames", server);
    kernel.register("control", control);
    if (settings.isEngine()) {
      kernel.register("weights", weights);
      kernel.register("rollout", rollout);
    } else {
      admission.offer((d, now) -> d.setServing(now, true, Generation.NONE));
    }
    kernel.register(
        "operators",
        new OperatorServer(
            settings.member().host(),
            settings.member().operatorPort(),
            metrics,
            () -> !leaving,
            Map.of("/members", control::view, "/rules", control::rulesText, "/load", () -> load),
            onLeave));
  }

  /**
   * Leaves without cutting off a request: says goodbye, takes nothing new, ends what runs.
   *
   * @return whether everything ended in time
   */
  @Override
  public boolean drain() {
    leaving = true;
    control.leave();
    admission.offer((d, now) -> d.leave(now));
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.drainMillis());
    sleep(2 * TICK_MILLIS);
    while (!idle && System.nanoTime() - until < 0) {
      sleep(POLL_MILLIS);
    }
    // What was written last must leave the process before its connections close.
    sleep(2 * POLL_MILLIS);
    return idle;
  }

  @Override
  public void close() {
    kernel.close();
  }

  private List<AdmissionEffect> tick(AdmissionDecider d, long now) {
    final List<AdmissionEffect> effects = d.tick(now);
    load = d.load();
    idle = d.isIdle();
    drained = idle && !load.ready();
    return effects;
  }

  private void execute(AdmissionEffect e) {
    if (e instanceof AdmissionEffect.Reply r) {
      server.send(r.connection(), r.message());
    } else if (e instanceof AdmissionEffect.Forward f) {
      metrics.meter("requests.forwarded").mark();
      forwarded.put(f.key(), engine.forward(f.dispatch(), new Answer(f.key(), f.dispatch())));
    } else if (e instanceof AdmissionEffect.Abort a) {
      Disposable open = forwarded.remove(a.key());
      if (open != null) {
        open.dispose();
      }
    } else if (e instanceof AdmissionEffect.BroadcastLoad b) {
      server.broadcast(new ControlMessage.LoadReport(settings.member().id(), b.load()));
    } else if (e instanceof AdmissionEffect.RecheckEndpoint) {
      rollout.recheck();
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
  private final class Answer implements EngineClient.AnswerListener {

    private final AttemptKey key;
    private final ServingMessage.Dispatch dispatch;
    private int parts;

    Answer(AttemptKey key, ServingMessage.Dispatch dispatch) {
      this.key = key;
      this.dispatch = dispatch;
    }

    @Override
    public void head(int status, String contentType, String manifest) {
      admission.offer((d, now) -> d.onAnswerHead(now, key, status, contentType, manifest));
    }

    @Override
    public void part(byte[] bytes) {
      parts++;
      admission.offer((d, now) -> d.onAnswerPart(now, key, bytes));
    }

    @Override
    public void end() {
      forwarded.remove(key);
      int tokens = dispatch.stream() ? parts : dispatch.cost();
      admission.offer((d, now) -> d.onAnswerEnd(now, key, true, tokens));
    }

    @Override
    public void failed(boolean refused) {
      forwarded.remove(key);
      if (refused) {
        admission.offer((d, now) -> d.onEndpointConnectionRefused(now, key));
      } else {
        int tokens = parts;
        admission.offer((d, now) -> d.onAnswerEnd(now, key, false, tokens));
      }
    }
  }

  /** Hands frames from entries and agents to the duties. */
  private final class Frames implements FrameListener {

    @Override
    public void received(long connection, String from, Message message) {
      if (message instanceof ServingMessage.Dispatch m) {
        admission.offer((d, now) -> d.onDispatch(now, connection, m));
      } else if (message instanceof ServingMessage.Cancel m) {
        admission.offer((d, now) -> d.onCancel(now, m));
      } else if (message instanceof ServingMessage.Seal m) {
        admission.offer((d, now) -> d.onSeal(now, connection, m));
      } else if (message instanceof ControlMessage.LoadRequest) {
        admission.offer((d, now) -> d.onLoadRequest(connection));
      } else if (message instanceof SwarmMessage m) {
        weights.received(from, m);
      } else if (message instanceof ControlMessage) {
        control.answer(message).ifPresent(a -> server.send(connection, a));
      }
    }

    @Override
    public void closed(long connection, String from) {
      admission.offer((d, now) -> d.onEntryConnectionLost(now, connection));
    }
  }

  /** Hands views of members and rules to the duties. */
  private final class Views implements ControlListener {

    @Override
    public void memberChanged(Member member, Health health) {}

    @Override
    public void rulesAdopted(Rules rules) {
      boolean out = rules.isDomainOut(rules.resolve(settings.member().domain()));
      admission.offer((d, now) -> d.setRules(now, rules, out));
      if (settings.isEngine()) {
        rollout.rules(rules);
      }
    }

    @Override
    public void viewed(Collection<Member> members, Set<String> unreachable) {
      if (settings.isEngine()) {
        rollout.viewed(members, unreachable);
      }
    }
  }

  /** Lets the rollout open and close the endpoint. */
  private final class EndpointControl implements RolloutDuty.Control {

    @Override
    public void serving(boolean ready, Generation generation) {
      if (!ready) {
        drained = false;
      }
      admission.offer((d, now) -> d.setServing(now, ready, generation));
    }

    @Override
    public void announce(Generation generation, String wants) {
      control.announce(m -> m.withGeneration(generation, wants));
    }

    @Override
    public void observed(EngineState state) {
      admission.offer((d, now) -> d.onEndpointStatus(now, state.incarnation(), state.capacity()));
    }
  }
}
