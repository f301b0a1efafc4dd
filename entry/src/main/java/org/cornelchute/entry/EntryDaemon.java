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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The daemon of an entry: a duty for routing, a duty for control, and the connections to callers,
 * agents and other members.
 */
public final class EntryDaemon implements Daemon {

  private static final Logger LOG = LoggerFactory.getLogger(EntryDaemon.class);
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
   * @param fatal called if a duty fails with an unexpected exception
   * @param onDrainRequest called if an operator requests a drain
   */
  public EntryDaemon(
      EntrySettings settings, long boot, Duty.FatalHandler fatal, Runnable onDrainRequest) {
    this.settings = settings;
    this.onDrainRequest = onDrainRequest;
    ControlSettings controlSettings = settings.member();
    final LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    final MessageCodec codec = new MessageCodec();
    this.tableClient = new TableClient(controlSettings.platform());
    this.agentClient = new FrameClient(controlSettings.id(), codec, new AgentListener());
    this.decider =
        new RequestDecider(
            controlSettings.id(), controlSettings.region(), settings.toRoutingOptions(), boot);
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
            controlSettings.id(),
            Role.ENTRY,
            controlSettings.address(),
            controlSettings.region(),
            controlSettings.domain(),
            "",
            boot,
            1,
            false,
            Generation.NONE,
            "");
    this.controlPlane =
        new ControlPlane(
            controlSettings,
            self,
            tableClient,
            codec,
            new ControlUpdateListener(),
            clock,
            boot,
            metrics,
            fatal);
    this.memberServer =
        new FrameServer(
            controlSettings.host(),
            controlSettings.port(),
            codec,
            new MemberRequestListener(),
            metrics);
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
   * Drains without aborting a request: the health check fails first, new requests are refused after
   * the grace period, and the daemon waits up to {@code deadlineMillis} for requests in flight.
   *
   * @return whether all requests ended in time
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
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.deadlineMillis());
    sleep(2 * TICK_INTERVAL_MILLIS);
    while (openRequestCount > 0 && System.nanoTime() - deadline < 0) {
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

  private List<RoutingEffect> tick(RequestDecider routingDecider, long now) {
    List<RoutingEffect> effects = routingDecider.tick(now);
    openRequestCount = routingDecider.openRequestCount();
    if (now >= nextUsageAt) {
      nextUsageAt = now + USAGE_INTERVAL_MILLIS;
      workspaceUsage = routingDecider.workspaceUsage();
    }
    return effects;
  }

  private void execute(RoutingEffect effect) {
    if (effect instanceof RoutingEffect.Send send) {
      agentByAddress.put(send.address(), send.agent());
      agentClient.send(send.address(), send.message());
    } else if (effect instanceof RoutingEffect.AppendResponse append) {
      callerServer.findExchange(append.request()).ifPresent(x -> appendResponse(x, append));
    } else if (effect instanceof RoutingEffect.StartResponse start) {
      callerServer
          .findExchange(start.request())
          .ifPresent(x -> x.startResponse(start.status(), start.contentType(), start.manifest()));
    } else if (effect instanceof RoutingEffect.CompleteResponse complete) {
      metrics.meter("requests.answered").mark();
      callerServer.findExchange(complete.request()).ifPresent(Exchange::complete);
    } else if (effect instanceof RoutingEffect.AbortResponse abort) {
      metrics.meter("requests.cut").mark();
      callerServer.findExchange(abort.request()).ifPresent(x -> x.abort(abort.reason()));
    } else if (effect instanceof RoutingEffect.Refuse refuse) {
      metrics.meter("requests.refused." + refuse.refusal()).mark();
      callerServer
          .findExchange(refuse.request())
          .ifPresent(x -> x.refuse(refuse.refusal(), refuse.reason()));
    } else if (effect instanceof RoutingEffect.ReadClaim read) {
      tableClient.read(read.row()).subscribe(row -> handleClaimRead(read, row));
    } else if (effect instanceof RoutingEffect.WriteClaim write) {
      writeClaim(write);
    } else if (effect instanceof RoutingEffect.Log log) {
      DecisionLog.write(log.decision());
    }
  }

  private void appendResponse(Exchange exchange, RoutingEffect.AppendResponse effect) {
    if (!exchange.appendBody(effect.bytes())) {
      metrics.meter("callers.slow").mark();
      exchange.abort("response buffer is full because the caller reads too slowly");
      routingDuty.offer((d, now) -> d.onCallerDisconnect(now, effect.request()));
    }
  }

  private void writeClaim(RoutingEffect.WriteClaim effect) {
    String value;
    try {
      value = mapper.writeValueAsString(effect.claim());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("claim cannot be encoded as JSON", e);
    }
    tableClient
        .write(new TableWrite(effect.row(), effect.expectedVersion(), value))
        .subscribe(
            result ->
                routingDuty.offer((d, now) -> d.onClaimWritten(now, effect.request(), result)));
  }

  private void handleClaimRead(
      RoutingEffect.ReadClaim effect, Either<Failure, Optional<TableRow>> read) {
    String request = effect.request();
    if (read.isLeft()) {
      routingDuty.offer((d, now) -> d.onClaimReadFailure(now, request));
      return;
    }
    Optional<TableRow> row = read.get();
    if (row.isEmpty()) {
      routingDuty.offer((d, now) -> d.onClaimRead(now, request, Optional.empty(), 0));
      return;
    }
    Either<Failure, Claim> claim = decodeClaim(row.get().value());
    if (claim.isLeft()) {
      LOG.error(
          "claim row refused key={} request={} cause={}",
          effect.row(),
          request,
          claim.getLeft().message());
      routingDuty.offer((d, now) -> d.onClaimUndecodable(now, request));
      return;
    }
    long version = row.get().version();
    routingDuty.offer((d, now) -> d.onClaimRead(now, request, Optional.of(claim.get()), version));
  }

  private Either<Failure, Claim> decodeClaim(String value) {
    try {
      Claim claim = mapper.readValue(value, Claim.class);
      return claim != null && claim.hasAllTexts()
          ? Either.right(claim)
          : Either.left(Failure.invalid("fields of the claim are missing"));
    } catch (JsonProcessingException e) {
      return Either.left(Failure.invalid("not the JSON of a claim: " + e.getOriginalMessage()));
    }
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Passes the requests of callers to the routing duty. */
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

  /** Passes the messages and connection failures of agents to the routing duty. */
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

  /** Passes updates of members and rules to the routing duty. */
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

  /** Answers the requests of other members. */
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
