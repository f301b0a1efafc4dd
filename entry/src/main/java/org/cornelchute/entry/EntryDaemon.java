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

  private static final int RING = 1 << 15;
  private static final long TICK_MILLIS = 20;
  private static final long POLL_MILLIS = 20;
  private static final long SHARES_MILLIS = 500;

  private final EntrySettings settings;
  private final Kernel kernel = new Kernel();
  private final MetricRegistry metrics = new MetricRegistry();
  private final ObjectMapper mapper = new ObjectMapper();
  private final TableClient table;
  private final FrameClient client;
  private final FrameServer server;
  private final CallerServer callers;
  private final ControlPlane control;
  private final RequestDecider decider;
  private final DeciderDuty<RequestDecider, RoutingEffect> routing;
  private final Map<String, String> agentByAddress = new ConcurrentHashMap<>();
  private final Runnable onLeave;
  private volatile Rules rules = Rules.NONE;
  private volatile boolean leaving;
  private volatile int open;
  private volatile List<WorkspaceUsage> shares = List.of();
  private long nextShares;

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
    this.onLeave = onLeave;
    ControlSettings who = settings.member();
    final LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    final MessageCodec codec = new MessageCodec();
    this.table = new TableClient(who.platform());
    this.client = new FrameClient(who.id(), codec, new AgentAnswers());
    this.decider = new RequestDecider(who.id(), who.region(), settings.routing(), boot);
    this.routing =
        new DeciderDuty<>(
            new DeciderDuty.Options("routing", RING, Overflow.WAIT, TICK_MILLIS),
            decider,
            this::tick,
            this::execute,
            clock,
            metrics,
            fatal);
    this.callers =
        new CallerServer(
            settings,
            boot,
            new Routes(),
            () -> rules,
            () -> shares,
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
    this.control =
        new ControlPlane(who, self, table, codec, new Views(), clock, boot, metrics, fatal);
    this.server = new FrameServer(who.host(), who.port(), codec, new PeerQuestions(), metrics);
    metrics.register("requests.open", (Gauge<Integer>) () -> open);
    ProcessGauges.register(metrics);
  }

  /** Starts all duties and opens all sockets. */
  @Override
  public void start() {
    kernel.register("client", client);
    kernel.register("routing", routing);
    kernel.register("frames", server);
    kernel.register("control", control);
    kernel.register("callers", callers);
    kernel.register(
        "operators",
        new OperatorServer(
            settings.member().host(),
            settings.member().operatorPort(),
            metrics,
            this::isHealthy,
            Map.of(
                "/members", control::view, "/rules", control::rulesText, "/fairness", () -> shares),
            onLeave));
  }

  /**
   * Leaves without cutting off a request: the health check fails first, then new requests are
   * refused, and the process waits for those it has.
   *
   * @return whether all requests had an outcome in time
   */
  @Override
  public boolean drain() {
    leaving = true;
    control.leave();
    sleep(settings.leaveGraceMillis());
    routing.offer(
        (d, now) -> {
          d.leave();
          return List.of();
        });
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.deadlineMillis());
    sleep(2 * TICK_MILLIS);
    while (open > 0 && System.nanoTime() - until < 0) {
      sleep(POLL_MILLIS);
    }
    return open == 0;
  }

  @Override
  public void close() {
    kernel.close();
  }

  private boolean isHealthy() {
    return !leaving && rules.version() > 0;
  }

  private List<RoutingEffect> tick(RequestDecider d, long now) {
    List<RoutingEffect> effects = d.tick(now);
    open = d.openRequestCount();
    if (now >= nextShares) {
      nextShares = now + SHARES_MILLIS;
      shares = d.workspaceUsage();
    }
    return effects;
  }

  private void execute(RoutingEffect e) {
    if (e instanceof RoutingEffect.Send s) {
      agentByAddress.put(s.address(), s.agent());
      client.send(s.address(), s.message());
    } else if (e instanceof RoutingEffect.AppendResponse p) {
      callers.find(p.request()).ifPresent(x -> deliver(x, p));
    } else if (e instanceof RoutingEffect.StartResponse h) {
      callers.find(h.request()).ifPresent(x -> x.head(h.status(), h.contentType(), h.manifest()));
    } else if (e instanceof RoutingEffect.CompleteResponse f) {
      metrics.meter("requests.answered").mark();
      callers.find(f.request()).ifPresent(Exchange::finish);
    } else if (e instanceof RoutingEffect.AbortResponse c) {
      metrics.meter("requests.cut").mark();
      callers.find(c.request()).ifPresent(x -> x.cut(c.reason()));
    } else if (e instanceof RoutingEffect.Refuse r) {
      metrics.meter("requests.refused." + r.refusal()).mark();
      callers.find(r.request()).ifPresent(x -> x.refuse(r.refusal(), r.reason()));
    } else if (e instanceof RoutingEffect.ReadClaim c) {
      table.read(c.row()).subscribe(row -> claimRead(c.request(), row));
    } else if (e instanceof RoutingEffect.WriteClaim c) {
      writeClaim(c);
    } else if (e instanceof RoutingEffect.Log l) {
      DecisionLog.write(l.decision());
    }
  }

  private void deliver(Exchange x, RoutingEffect.AppendResponse p) {
    if (!x.part(p.bytes())) {
      metrics.meter("callers.slow").mark();
      x.cut("the caller reads too slowly");
      routing.offer((d, now) -> d.onCallerDisconnect(now, p.request()));
    }
  }

  private void writeClaim(RoutingEffect.WriteClaim c) {
    String value;
    try {
      value = mapper.writeValueAsString(c.claim());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("claim cannot be encoded", e);
    }
    table
        .write(new TableWrite(c.row(), c.expectedVersion(), value))
        .subscribe(r -> routing.offer((d, now) -> d.onClaimWritten(now, c.request(), r)));
  }

  private void claimRead(String request, Either<Failure, Optional<TableRow>> read) {
    if (read.isLeft()) {
      routing.offer((d, now) -> d.onClaimReadFailure(now, request));
      return;
    }
    Optional<TableRow> row = read.get();
    if (row.isEmpty()) {
      routing.offer((d, now) -> d.onClaimRead(now, request, Optional.empty(), 0));
      return;
    }
    try {
      Claim claim = mapper.readValue(row.get().value(), Claim.class);
      long version = row.get().version();
      routing.offer((d, now) -> d.onClaimRead(now, request, Optional.of(claim), version));
    } catch (JsonProcessingException e) {
      routing.offer((d, now) -> d.onClaimReadFailure(now, request));
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
  private final class Routes implements CallerServer.Intake {

    @Override
    public boolean arrive(RequestSpec spec) {
      return routing.offer((d, now) -> d.onRequest(now, spec));
    }

    @Override
    public void gone(String request) {
      routing.offer((d, now) -> d.onCallerDisconnect(now, request));
    }
  }

  /** Hands agents' answers to the routing duty. */
  private final class AgentAnswers implements FrameClient.Listener {

    @Override
    public void received(String address, Message message) {
      String agent = agentByAddress.getOrDefault(address, "");
      routing.offer((d, now) -> d.onMessage(now, agent, message));
    }

    @Override
    public void lost(String address) {
      String agent = agentByAddress.getOrDefault(address, "");
      routing.offer((d, now) -> d.onConnectionLost(now, agent));
    }

    @Override
    public void undelivered(String address, Message message) {
      String agent = agentByAddress.getOrDefault(address, "");
      routing.offer((d, now) -> d.onSendFailure(now, agent, message));
    }
  }

  /** Hands views of members and rules to the routing duty. */
  private final class Views implements ControlListener {

    @Override
    public void memberChanged(Member member, Health health) {
      routing.offer((d, now) -> d.updateMember(now, member, health));
    }

    @Override
    public void rulesAdopted(Rules adopted) {
      rules = adopted;
      routing.offer((d, now) -> d.updateRules(now, adopted));
    }

    @Override
    public void viewed(Collection<Member> members, Set<String> unreachable) {}
  }

  /** Answers other members' questions. */
  private final class PeerQuestions implements FrameListener {

    @Override
    public void received(long connection, String from, Message message) {
      if (message instanceof ControlMessage.UsageRequest) {
        server.send(connection, new ControlMessage.UsageReport(settings.member().id(), shares));
      } else if (message instanceof ControlMessage) {
        control.answer(message).ifPresent(a -> server.send(connection, a));
      }
    }

    @Override
    public void closed(long connection, String from) {}
  }
}
