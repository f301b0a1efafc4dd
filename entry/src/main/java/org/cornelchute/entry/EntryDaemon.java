package org.cornelchute.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.core.model.WorkspaceUsage;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.control.ControlListener;
import org.cornelchute.net.control.ControlPlane;
import org.cornelchute.net.control.ControlSettings;
import org.cornelchute.net.frame.FrameClient;
import org.cornelchute.net.frame.FrameListener;
import org.cornelchute.net.frame.FrameServer;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.http.OperatorServer;
import org.cornelchute.net.platform.TableClient;
import org.cornelchute.net.platform.TableRow;
import org.cornelchute.net.platform.TableWrite;
import org.cornelchute.net.util.ProcessGauges;
import org.cornelchute.policy.routing.Claim;
import org.cornelchute.policy.routing.RequestDecider;
import org.cornelchute.policy.routing.RequestSpec;
import org.cornelchute.policy.routing.RoutingEffect;
import org.cornelchute.policy.rules.Rules;

/** Wires the duties of an entry: one for routing, one for control, the network at the edges. */
public final class EntryDaemon implements Daemon {

  private static final int RING_CAPACITY = 1 << 15;
  private static final long TICK_INTERVAL_MILLIS = 20;
  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final long USAGE_INTERVAL_MILLIS = 500;

  private final EntrySettings settings;
  private final Kernel kernel = new Kernel();
  private final MetricRegistry metrics = new MetricRegistry();
  private final ObjectMapper mapper = new ObjectMapper();
  private final TableClient tableClient;
  private final FrameClient agentClient;
  private final FrameServer memberServer;
  private final CallerServer callerServer;
  private final ControlPlane controlPlane;
  private final RequestDecider decider;
  private final DeciderDuty<RequestDecider, RoutingEffect> routingDuty;
  private final Map<String, String> agentByAddress = new ConcurrentHashMap<>();
  private final Runnable onDrainRequest;
  private volatile Rules rules = Rules.NONE;
  private volatile boolean draining;
  private volatile int openRequestCount;
  private volatile List<WorkspaceUsage> workspaceUsage = List.of();
  private long nextUsageAt;

  /**
   * Creates a daemon; {@link #start()} opens its sockets.
   *
   * @param settings checked settings
   * @param boot incarnation of the process
   * @param fatal receives broken invariants
   * @param onLeave what the operator's order to leave starts
   */
  public EntryDaemon(EntrySettings settings, long boot, Duty.FatalHandler fatal, Runnable onLeave) {
    this.settings = settings;
    this.onDrainRequest = onLeave;
    ControlSettings who = settings.member();
    final LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    final MessageCodec codec = new MessageCodec();
    this.tableClient = new TableClient(who.platform());
    this.agentClient = new FrameClient(who.id(), codec, new AgentListener());
    this.decider = new RequestDecider(who.id(), who.region(), settings.toRoutingOptions(), boot);
    this.routingDuty =
        new DeciderDuty<>(
            new DeciderDuty.Options("routing", RING_CAPACITY, Overflow.WAIT, TICK_INTERVAL_MILLIS),
            decider,
            this::tick,
            this::execute,
            clock,
            metrics,
            fatal);
    this.callerServer =
        new CallerServer(
            settings,
            boot,
            new CallerRequestHandler(),
            () -> rules,
            () -> workspaceUsage,
            this::isHealthy,
            clock,
            metrics);
    Member self =
        new Member(
            who.id(),
            Role.ENTRY,
            who.address(),
            who.region(),
            who.domain(),
            "",
            boot,
            1,
            false,
            Generation.NONE,
            "");
    this.controlPlane =
        new ControlPlane(
            who,
            self,
            tableClient,
            codec,
            new ControlUpdateListener(),
            clock,
            boot,
            metrics,
            fatal);
    this.memberServer =
        new FrameServer(who.host(), who.port(), codec, new MemberRequestListener(), metrics);
    metrics.register("requests.open", (Gauge<Integer>) () -> openRequestCount);
    ProcessGauges.register(metrics);
  }

  /** Starts all duties and opens all sockets. */
  @Override
  public void start() {
    kernel.register("client", agentClient);
    kernel.register("routing", routingDuty);
    kernel.register("frames", memberServer);
    kernel.register("control", controlPlane);
    kernel.register("callers", callerServer);
    kernel.register(
        "operators",
        new OperatorServer(
            settings.member().host(),
            settings.member().operatorPort(),
            metrics,
            this::isHealthy,
            Map.of(
                "/members",
                controlPlane::memberSnapshot,
                "/rules",
                controlPlane::rulesText,
                "/fairness",
                () -> workspaceUsage),
            onDrainRequest));
  }

  /**
   * Leaves without cutting off a request: the health check fails first, then new requests are
   * refused, and the process waits for those it has.
   *
   * @return whether all requests had an outcome in time
   */
  @Override
  public boolean drain() {
    draining = true;
    controlPlane.leave();
    sleep(settings.leaveGraceMillis());
    routingDuty.offer(
        (d, now) -> {
          d.leave();
          return List.of();
        });
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.deadlineMillis());
    sleep(2 * TICK_INTERVAL_MILLIS);
    while (openRequestCount > 0 && System.nanoTime() - until < 0) {
      sleep(POLL_INTERVAL_MILLIS);
    }
    return openRequestCount == 0;
  }

  @Override
  public void close() {
    kernel.close();
  }

  private boolean isHealthy() {
    return !draining && rules.version() > 0;
  }

  private List<RoutingEffect> tick(RequestDecider d, long now) {
    List<RoutingEffect> effects = d.tick(now);
    openRequestCount = d.openRequestCount();
    if (now >= nextUsageAt) {
      nextUsageAt = now + USAGE_INTERVAL_MILLIS;
      workspaceUsage = d.workspaceUsage();
    }
    return effects;
  }

  private void execute(RoutingEffect e) {
    if (e instanceof RoutingEffect.Send s) {
      agentByAddress.put(s.address(), s.agent());
      agentClient.send(s.address(), s.message());
    } else if (e instanceof RoutingEffect.AppendResponse p) {
      callerServer.findExchange(p.request()).ifPresent(x -> appendResponse(x, p));
    } else if (e instanceof RoutingEffect.StartResponse h) {
      callerServer
          .findExchange(h.request())
          .ifPresent(x -> x.head(h.status(), h.contentType(), h.manifest()));
    } else if (e instanceof RoutingEffect.CompleteResponse f) {
      metrics.meter("requests.answered").mark();
      callerServer.findExchange(f.request()).ifPresent(Exchange::complete);
    } else if (e instanceof RoutingEffect.AbortResponse c) {
      metrics.meter("requests.cut").mark();
      callerServer.findExchange(c.request()).ifPresent(x -> x.abort(c.reason()));
    } else if (e instanceof RoutingEffect.Refuse r) {
      metrics.meter("requests.refused." + r.refusal()).mark();
      callerServer.findExchange(r.request()).ifPresent(x -> x.refuse(r.refusal(), r.reason()));
    } else if (e instanceof RoutingEffect.ReadClaim c) {
      tableClient.read(c.row()).subscribe(row -> handleClaimRead(c.request(), row));
    } else if (e instanceof RoutingEffect.WriteClaim c) {
      writeClaim(c);
    } else if (e instanceof RoutingEffect.Log l) {
      DecisionLog.write(l.decision());
    }
  }

  private void appendResponse(Exchange x, RoutingEffect.AppendResponse p) {
    if (!x.appendBody(p.bytes())) {
      metrics.meter("callers.slow").mark();
      x.abort("the caller reads too slowly");
      routingDuty.offer((d, now) -> d.onCallerDisconnect(now, p.request()));
    }
  }

  private void writeClaim(RoutingEffect.WriteClaim c) {
    String value;
    try {
      value = mapper.writeValueAsString(c.claim());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("claim cannot be encoded", e);
    }
    tableClient
        .write(new TableWrite(c.row(), c.expectedVersion(), value))
        .subscribe(r -> routingDuty.offer((d, now) -> d.onClaimWritten(now, c.request(), r)));
  }

  private void handleClaimRead(String request, Either<Failure, Optional<TableRow>> read) {
    if (read.isLeft()) {
      routingDuty.offer((d, now) -> d.onClaimReadFailure(now, request));
      return;
    }
    Optional<TableRow> row = read.get();
    if (row.isEmpty()) {
      routingDuty.offer((d, now) -> d.onClaimRead(now, request, Optional.empty(), 0));
      return;
    }
    try {
      Claim claim = mapper.readValue(row.get().value(), Claim.class);
      long version = row.get().version();
      routingDuty.offer((d, now) -> d.onClaimRead(now, request, Optional.of(claim), version));
    } catch (JsonProcessingException e) {
      routingDuty.offer((d, now) -> d.onClaimReadFailure(now, request));
    }
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Hands callers' requests to the routing duty. */
  private final class CallerRequestHandler implements CallerServer.RequestHandler {

    @Override
    public boolean submit(RequestSpec spec) {
      return routingDuty.offer((d, now) -> d.onRequest(now, spec));
    }

    @Override
    public void onCallerDisconnect(String request) {
      routingDuty.offer((d, now) -> d.onCallerDisconnect(now, request));
    }
  }

  /** Hands agents' answers to the routing duty. */
  private final class AgentListener implements FrameClient.Listener {

    @Override
    public void onMessage(String address, Message message) {
      String agent = agentByAddress.getOrDefault(address, "");
      routingDuty.offer((d, now) -> d.onMessage(now, agent, message));
    }

    @Override
    public void onDisconnect(String address) {
      String agent = agentByAddress.getOrDefault(address, "");
      routingDuty.offer((d, now) -> d.onConnectionLost(now, agent));
    }

    @Override
    public void onUndelivered(String address, Message message) {
      String agent = agentByAddress.getOrDefault(address, "");
      routingDuty.offer((d, now) -> d.onSendFailure(now, agent, message));
    }
  }

  /** Hands views of members and rules to the routing duty. */
  private final class ControlUpdateListener implements ControlListener {

    @Override
    public void onMemberChange(Member member, Health health) {
      routingDuty.offer((d, now) -> d.updateMember(now, member, health));
    }

    @Override
    public void onRulesAdopted(Rules adopted) {
      rules = adopted;
      routingDuty.offer((d, now) -> d.updateRules(now, adopted));
    }

    @Override
    public void onViewRefresh(Collection<Member> members, Set<String> unreachable) {}
  }

  /** Answers other members' questions. */
  private final class MemberRequestListener implements FrameListener {

    @Override
    public void onMessage(long connection, String from, Message message) {
      if (message instanceof ControlMessage.UsageRequest) {
        memberServer.send(
            connection, new ControlMessage.UsageReport(settings.member().id(), workspaceUsage));
      } else if (message instanceof ControlMessage) {
        controlPlane.answer(message).ifPresent(a -> memberServer.send(connection, a));
      }
    }

    @Override
    public void onConnectionClosed(long connection, String from) {}
  }
}
